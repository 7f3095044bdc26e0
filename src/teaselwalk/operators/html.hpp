#pragma once

#include "form.hpp"

#include <string>
#include <utility>
#include <vector>

/// Pieces of HTML with escaped text.
namespace teaselwalk::operators {

std::string htmlPage(const std::string &Title, const std::string &Content);

/// An element around escaped text, such as `<p>text</p>`.
std::string element(const char *Tag, const std::string &Text);

std::string hidden(const std::string &Name, const std::string &Value);
std::string input(const std::string &Label, const std::string &Name,
                  const std::string &Value);
std::string select(const std::string &Name,
                   const std::vector<std::string> &Choices,
                   const std::string &Chosen);

using HiddenFields = std::vector<std::pair<std::string, std::string>>;

/// A form that posts \p Content, which is HTML, and the hidden fields.
std::string postForm(const std::string &Target, const HiddenFields &Fields,
                     const std::string &Content, const std::string &Button);

} // namespace teaselwalk::operators
