#pragma once

#include "teaselwalk/config/document.hpp"

namespace teaselwalk::config {

class MistakeList;

/// Notes what is wrong between the parts of a document whose fields were
/// checked one by one: duplicate names, unknown references, loops.
void checkRules(const Document &Value, MistakeList &Mistakes);

} // namespace teaselwalk::config
