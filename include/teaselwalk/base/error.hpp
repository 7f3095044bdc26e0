#pragma once

#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

namespace teaselwalk {

/// Base of all exceptions of the project.
class Error : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
};

/// One mistake in a request, a document or a settings file.
struct FieldError {
  std::string Field;   ///< Path of the field, such as `teams[2].share`.
  std::string Message; ///< What is wrong, with the allowed range and unit.

  friend bool operator==(const FieldError &A, const FieldError &B) {
    return A.Field == B.Field && A.Message == B.Message;
  }
};

/// Input that was refused as a whole, with every mistake found.
class InvalidInput : public Error {
public:
  explicit InvalidInput(std::vector<FieldError> Mistakes)
      : Error(Mistakes.empty()
                  ? "invalid input"
                  : Mistakes.front().Field + ": " + Mistakes.front().Message),
        Errors(std::move(Mistakes)) {}

  InvalidInput(std::string Field, std::string Message)
      : InvalidInput(
            std::vector<FieldError>{{std::move(Field), std::move(Message)}}) {}

  const std::vector<FieldError> &errors() const { return Errors; }

private:
  std::vector<FieldError> Errors;
};

} // namespace teaselwalk
