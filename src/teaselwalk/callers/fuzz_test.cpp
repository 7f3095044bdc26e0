#include "teaselwalk/callers/api.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace teaselwalk::callers {
namespace {

/// Text that is often close to a valid body.
rc::Gen<std::string> anyBody() {
  const std::string Valid =
      R"({"queue":"q","cpu_millis":100,"memory_mb":64,"payload":"p"})";
  auto Mutated =
      rc::gen::map(rc::gen::tuple(rc::gen::inRange<size_t>(0, Valid.size()),
                                  rc::gen::arbitrary<char>()),
                   [Valid](const std::tuple<size_t, char> &Change) {
                     std::string Text = Valid;
                     Text[std::get<0>(Change)] = std::get<1>(Change);
                     return Text;
                   });
  auto Cut = rc::gen::map(rc::gen::inRange<size_t>(0, Valid.size()),
                          [Valid](size_t N) { return Valid.substr(0, N); });
  return rc::gen::oneOf(rc::gen::just(Valid), Mutated, Cut,
                        rc::gen::arbitrary<std::string>());
}

/// Mostly empty, else any text.
rc::Gen<std::string> anySuffix() {
  return rc::gen::weightedOneOf<std::string>(
      {{3, rc::gen::just(std::string())},
       {1, rc::gen::arbitrary<std::string>()}});
}

rc::Gen<std::string> anyTarget() {
  auto Path = rc::gen::weightedElement<std::string>({{4, "/v1/calls"},
                                                     {1, "/v1/jobs"},
                                                     {1, "/v1/jobs/"},
                                                     {1, "/v1/jobs/j1"},
                                                     {1, "/v1/timeline?after="},
                                                     {1, "/v1/status"},
                                                     {1, ""}});
  return rc::gen::map(rc::gen::pair(Path, anySuffix()),
                      [](const std::pair<std::string, std::string> &Parts) {
                        return Parts.first + Parts.second;
                      });
}

rc::Gen<http::Request> anyRequest() {
  return rc::gen::build<http::Request>(
      rc::gen::set(&http::Request::Method,
                   rc::gen::weightedElement<std::string>(
                       {{4, "POST"}, {1, "GET"}, {1, "DELETE"}, {1, "X"}})),
      rc::gen::set(&http::Request::Target, anyTarget()),
      rc::gen::set(&http::Request::Body, anyBody()),
      rc::gen::set(&http::Request::RequestId, anySuffix()));
}

ApiHooks countingHooks(int &Submitted) {
  ApiHooks Hooks;
  Hooks.Submit = [&Submitted](const CallerEvent &) {
    ++Submitted;
    return true;
  };
  Hooks.MetricsText = [] { return ""; };
  Hooks.IsHealthy = [] { return true; };
  Hooks.IsReady = [] { return true; };
  Hooks.Timeline = [](uint64_t, size_t) {
    return std::vector<runtime::TimelineEvent>();
  };
  Hooks.Now = [] { return timeAt(0); };
  return Hooks;
}

// Guards against input that ends the process, that is answered twice, or that
// is refused without a verdict.
TEST(CallersFuzzTest, EveryRequestIsAnsweredOrSubmittedOnce) {
  rc::detail::TestParams Params;
  Params.seed = 4711;
  Params.maxSuccess = 5000;
  int Submitted = 0;
  runtime::Metrics Registry;
  Api Subject({}, countingHooks(Submitted), Registry, std::mt19937_64(1));
  auto Result = rc::detail::checkTestable(
      [&] {
        http::Request Message = *anyRequest();
        int Before = Submitted;
        int Answered = 0;
        Subject.handle(Message, [&](const http::Response &Answer) {
          ++Answered;
          if (Answer.Status < 400)
            return;
          RC_ASSERT(nlohmann::json::parse(Answer.Body)["verdict"] == "not_run");
        });
        RC_ASSERT(Submitted - Before + Answered == 1);
      },
      rc::detail::TestMetadata(), Params);
  EXPECT_TRUE(Result.is<rc::detail::SuccessResult>()) << Result;
  // Some of the bodies must be valid, or the test reaches only the parser.
  EXPECT_GT(Submitted, 100);
}

} // namespace
} // namespace teaselwalk::callers
