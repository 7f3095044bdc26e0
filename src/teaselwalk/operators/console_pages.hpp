#pragma once

#include "teaselwalk/base/error.hpp"
#include "teaselwalk/operators/backend.hpp"

#include "change_request.hpp"
#include "form.hpp"

#include <string>

/// HTML of the console: plain forms without scripts. All text is escaped.
namespace teaselwalk::operators {

/// What every page of a session needs.
struct PageContext {
  std::string Session;
  std::string Operator;
};

std::string loginPage(const std::string &Message);

/// Everything that can be edited, each with its form.
std::string homePage(const PageContext &Context, const CurrentConfig &Current,
                     const std::vector<InForce> &InForce);

/// The differences of a draft and the form to confirm them. Repeats \p Fields.
std::string draftPage(const PageContext &Context, const Form &Fields,
                      const ChangeOutcome &Draft);

/// What became of a change. \p NewKey is shown once, and only if the key may be
/// in force.
std::string resultPage(const PageContext &Context, const ChangeOutcome &Outcome,
                       const std::string &NewKey);

std::string mistakesPage(const PageContext &Context,
                         const std::vector<FieldError> &Mistakes);

} // namespace teaselwalk::operators
