#pragma once

#include "teaselwalk/operators/operator_api.hpp"

#include "console_pages.hpp"
#include "sessions.hpp"

namespace teaselwalk::operators {

/// Answers the routes under `/console`.
class Console {
public:
  Console(ConfigBackend &Backend, const OperatorOptions &Options)
      : Backend(Backend), Options(Options), Open(Options) {}

  void handle(const CurrentConfig &Current, const http::Request &Message,
              const OperatorApi::Answer &Done);

private:
  void answerSession(const PageContext &Context, const CurrentConfig &Current,
                     const std::string &Path, const Form &Fields,
                     const OperatorApi::Answer &Done);
  void answerDraft(const PageContext &Context, const CurrentConfig &Current,
                   const Form &Fields, const OperatorApi::Answer &Done);
  void answerConfirm(const PageContext &Context, const CurrentConfig &Current,
                     const Form &Fields, const OperatorApi::Answer &Done);

  ConfigBackend &Backend;
  const OperatorOptions &Options;
  Sessions Open;
};

} // namespace teaselwalk::operators
