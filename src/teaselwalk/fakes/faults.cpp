#include "teaselwalk/fakes/faults.hpp"

#include "teaselwalk/base/error.hpp"
#include "teaselwalk/base/verdict.hpp"

#include <nlohmann/json.hpp>

namespace teaselwalk::fakes {
namespace {

struct SwitchRow {
  const char *Name;
  bool Faults::*Field;
};

constexpr SwitchRow SwitchRows[] = {
    {"down", &Faults::Down},
    {"closed", &Faults::Closed},
    {"lose_answers", &Faults::LoseAnswers},
    {"freeze", &Faults::Freeze},
    {"fail_all", &Faults::FailAll},
    {"plain", &Faults::Plain},
};

constexpr const char *SlowName = "slow_ms";
constexpr uint64_t MaxSlowMs = 600000;

bool readSwitch(const std::string &Name, const nlohmann::json &Value,
                Faults &Into) {
  for (const SwitchRow &Row : SwitchRows) {
    if (Name != Row.Name)
      continue;
    if (!Value.is_boolean())
      throw InvalidInput(Name, "must be true or false");
    Into.*Row.Field = Value.get<bool>();
    return true;
  }
  return false;
}

} // namespace

void to_json(nlohmann::json &Json, const Faults &Value) {
  Json = nlohmann::json::object();
  for (const SwitchRow &Row : SwitchRows)
    Json[Row.Name] = Value.*Row.Field;
  Json[SlowName] = Value.Slow.count();
}

Faults parseFaults(const std::string &Body) {
  nlohmann::json Json = nlohmann::json::parse(Body, nullptr, false);
  if (!Json.is_object())
    throw InvalidInput("body", "must be a JSON object");
  Faults Value;
  for (const auto &Item : Json.items()) {
    if (readSwitch(Item.key(), Item.value(), Value))
      continue;
    if (Item.key() != SlowName)
      throw InvalidInput(Item.key(), "is not a known field");
    if (!Item.value().is_number_unsigned() ||
        Item.value().get<uint64_t>() > MaxSlowMs)
      throw InvalidInput(SlowName, "must be an integer from 0 to 600000 ms");
    Value.Slow = Duration(Item.value().get<int64_t>());
  }
  return Value;
}

void FaultGate::pass(http::Request Message, Reply Answer,
                     const HttpHost::Handler &Handle) {
  if (Switches.Closed)
    return;
  if (Switches.Down)
    return Answer.send(notTaken(503, "the service is down"));
  if (Switches.Freeze) {
    Frozen.push_back({std::move(Message), std::move(Answer), &Handle});
    return;
  }
  if (Switches.LoseAnswers)
    Answer.lose();
  if (Switches.Slow == Duration(0))
    return Handle(std::move(Message), std::move(Answer));
  Host.after(Switches.Slow,
             [Message = std::move(Message), Answer = std::move(Answer),
              &Handle] { Handle(Message, Answer); });
}

bool FaultGate::serve(const http::Request &Message, Reply &Answer) {
  if (http::pathOf(Message) != "/faults")
    return false;
  try {
    if (Message.Method == "PUT")
      set(parseFaults(Message.Body));
    Answer.send({200, nlohmann::json(Switches).dump()});
  } catch (const InvalidInput &Failure) {
    Answer.send(notTaken(400, Failure.what()));
  }
  return true;
}

void FaultGate::set(const Faults &Value) {
  Switches = Value;
  if (Switches.Freeze)
    return;
  // A paused process reads what arrived meanwhile, in order.
  for (Held &Row : std::exchange(Frozen, {}))
    pass(std::move(Row.Message), std::move(Row.Answer), *Row.Handle);
}

http::Response notTaken(int Status, const std::string &Why) {
  nlohmann::json Json = {{"verdict", toString(Verdict::NotRun)},
                         {"error", Why}};
  return {Status,
          Json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)};
}

} // namespace teaselwalk::fakes
