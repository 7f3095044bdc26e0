#pragma once

#include "teaselwalk/base/enum_names.hpp"

#include <string_view>

namespace teaselwalk {

/// Whether a request may have run. Travels from the endpoint's answer up to
/// the caller.
enum class Verdict { Ran, NotRun, MayHaveRun };

constexpr std::array<EnumName<Verdict>, 3> VerdictNames = {{
    {Verdict::Ran, "ran"},
    {Verdict::NotRun, "not_run"},
    {Verdict::MayHaveRun, "may_have_run"},
}};

/// The name of \p Value in protocols and logs.
constexpr std::string_view toString(Verdict Value) {
  return nameOf(VerdictNames, Value);
}

/// The verdict over two attempts of the same request: it may have run unless
/// both attempts surely did not, and it ran if one of them did.
constexpr Verdict combine(Verdict A, Verdict B) {
  if (A == Verdict::Ran || B == Verdict::Ran)
    return Verdict::Ran;
  if (A == Verdict::NotRun && B == Verdict::NotRun)
    return Verdict::NotRun;
  return Verdict::MayHaveRun;
}

} // namespace teaselwalk
