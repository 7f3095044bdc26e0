#pragma once

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <limits>

/// Access to the numbers in stored records. A number that is missing, is no
/// integer or is out of range throws `Error` with the field's name; the JSON
/// library would convert it to another number.
namespace teaselwalk::cell {

/// The integer \p Name of the object \p Record, from \p Least to \p Most.
int64_t integerField(const nlohmann::json &Record, const char *Name,
                     int64_t Least, int64_t Most);

/// The integer \p Value, from \p Least to \p Most. \p Name is for the error.
int64_t integerIn(const nlohmann::json &Value, const char *Name, int64_t Least,
                  int64_t Most);

/// The number \p Name of the object \p Record, above 0 and at most \p Most.
double positiveField(const nlohmann::json &Record, const char *Name,
                     double Most);

/// Limit of counts of a record.
constexpr int64_t MaxRecordCount = std::numeric_limits<int32_t>::max();
/// Limit of versions, times in ms and other large numbers of a record. Sums of
/// a few of them cannot overflow.
constexpr int64_t MaxRecordNumber = int64_t(1) << 53;

} // namespace teaselwalk::cell
