#include "teaselwalk/base/error.hpp"

#include "bootstrap.hpp"
#include "command_rows.hpp"
#include "remote.hpp"

#include <chrono>
#include <iostream>

namespace teaselwalk::cli {
namespace {

constexpr const char *Usage =
    R"(Puts a configuration document into force.

Usage:
  teaselwalk apply --server ADDRESS --credential-file FILE [--dry-run]
                   --who NAME --why TEXT [--confirm TEXT] [--timeout MS]
                   DOCUMENT
  teaselwalk apply --bootstrap ADDRESS --who NAME --why TEXT [--timeout MS]
                   DOCUMENT
  teaselwalk apply --help

Options:
  --server ADDRESS        Operator port of an entry process, IP:PORT.
  --credential-file FILE  File with the operator's credential.
  --dry-run               Only print the differences.
  --who NAME              Who makes the change.
  --why TEXT              The reason, kept in the history.
  --confirm TEXT          The words that a dangerous change asks for.
  --bootstrap ADDRESS     Write the first document straight into an empty store
                          at IP:PORT, before any entry process runs.
  --timeout MS            Wait for each answer [default: 15000].

DOCUMENT is a document, or the answer of GET /v1/config with an edited
"document". Only the second has the revision that the edit started from, so that
a change made meanwhile by somebody else is noticed.)";

using Json = nlohmann::json;

/// A document file and the revision it was edited from, if the file has it.
struct Draft {
  config::Document Content;
  std::optional<uint64_t> Base;
};

Draft readDraft(const std::string &Path) {
  std::string Text = readFile(Path);
  Json Whole = Json::parse(Text, nullptr, false);
  bool Wrapped = Whole.is_object() && Whole.contains("document") &&
                 Whole.contains("revision");
  if (!Wrapped)
    return {config::parseDocument(Text), std::nullopt};
  if (!Whole["revision"].is_number_unsigned())
    throw InvalidInput("revision", "must be an integer of at least 0");
  return {config::documentFromJson(Whole["document"]),
          Whole["revision"].get<uint64_t>()};
}

void printErrors(const Json &Body) {
  if (!Body.is_object() || !Body.contains("errors") ||
      !Body["errors"].is_array())
    return;
  for (const Json &Row : Body["errors"])
    std::cerr << textOf(Row, "field") << ": " << textOf(Row, "message") << '\n';
}

void printChanges(const Json &Body) {
  if (!Body.contains("changes") || !Body["changes"].is_array())
    return;
  for (const Json &Row : Body["changes"])
    std::cout << (Row.value("dangerous", false) ? "  ! " : "  - ")
              << textOf(Row, "text") << '\n';
}

/// One of the server's configuration requests.
class ConfigServer {
public:
  explicit ConfigServer(const Arguments &Args)
      : Server(addressOf(Args, "--server")),
        Credential(secretOf(Args, "--credential-file")),
        Timeout(durationOf(Args, "--timeout", Duration(15000))) {}

  http::Result post(const char *Target, const Json &Body) const {
    http::Request Message;
    Message.Method = "POST";
    Message.Target = Target;
    Message.Body = Body.dump();
    Message.Bearer = Credential;
    return http::sendAndWait(Server, Message, Timeout);
  }

private:
  protocol::Address Server;
  std::string Credential;
  Duration Timeout;
};

int explainConflict(const Json &Body) {
  std::cout << "refused: the configuration is at revision "
            << Body.value("revision", uint64_t(0))
            << ", another change came first:\n";
  printChanges(Body);
  return ExitFailure;
}

int explainRefusal(const http::Response &Answer) {
  Json Body = bodyOf(Answer);
  if (Answer.Status == 409 && Body.is_object())
    return explainConflict(Body);
  printErrors(Body);
  std::cerr << "nothing was changed: " << reasonOf(Answer) << '\n';
  return Answer.Status == 422 ? ExitBadUsage : ExitFailure;
}

int finish(const http::Result &Got) {
  if (Got.State == protocol::Delivery::NotSent)
    throw Error("nothing was changed: no connection to the server");
  if (Got.State == protocol::Delivery::Lost)
    throw Error("the change may be in force: no whole answer; read the history "
                "before you try again");
  Json Body = bodyOf(Got.Message);
  if (Got.Message.Status == 200 && Body.is_object()) {
    std::cout << "in force as revision " << Body.value("revision", uint64_t(0))
              << '\n';
    return ExitOk;
  }
  if (textOf(Body, "verdict") == "may_have_run")
    throw Error("the change may be in force: " + reasonOf(Got.Message) +
                "; read the history before you try again");
  return explainRefusal(Got.Message);
}

int applyToServer(const Arguments &Args, const Draft &Wanted) {
  ConfigServer Server(Args);
  Json Request = {{"document", toJson(Wanted.Content)}};
  if (Wanted.Base)
    Request["base_revision"] = *Wanted.Base;
  http::Result Got = Server.post("/v1/config/draft", Request);
  if (Got.State != protocol::Delivery::Answered)
    throw Error("nothing was changed: no answer from the server");
  Json Body = bodyOf(Got.Message);
  if (Got.Message.Status != 200 || !Body.is_object())
    return explainRefusal(Got.Message);
  std::cout << "changes to revision " << Body.value("revision", uint64_t(0))
            << ":\n";
  printChanges(Body);
  if (Args.at("--dry-run").asBool())
    return ExitOk;
  std::string Needed = textOf(Body, "confirmation");
  std::string Confirm = optionOf(Args, "--confirm").value_or("");
  if (!Needed.empty() && Confirm != Needed) {
    std::cerr << "nothing was changed: confirm with --confirm '" << Needed
              << "'\n";
    return ExitFailure;
  }
  Request["base_revision"] = Body.value("revision", uint64_t(0));
  Request["who"] = *optionOf(Args, "--who");
  Request["why"] = *optionOf(Args, "--why");
  Request["confirm"] = Confirm;
  return finish(Server.post("/v1/config/apply", Request));
}

struct BootstrapText {
  BootstrapOutcome Outcome;
  const char *Text;
  int Code;
};

constexpr BootstrapText BootstrapTexts[] = {
    {BootstrapOutcome::Written, "in force as revision 1", ExitOk},
    {BootstrapOutcome::Exists,
     "nothing was changed: the store has a configuration already; use --server",
     ExitFailure},
    {BootstrapOutcome::Refused, "nothing was changed: the store refused",
     ExitFailure},
    {BootstrapOutcome::NotSent,
     "nothing was changed: no connection to the store", ExitFailure},
    {BootstrapOutcome::Unknown,
     "the document may have been written: no whole answer from the store; run "
     "the command again",
     ExitFailure},
};

int applyToStore(const Arguments &Args, const Draft &Wanted) {
  auto Now = std::chrono::system_clock::now().time_since_epoch();
  config::ChangeNote Note{*optionOf(Args, "--who"),
                          std::chrono::duration_cast<Duration>(Now).count(),
                          *optionOf(Args, "--why")};
  BootstrapOutcome Outcome =
      bootstrap(addressOf(Args, "--bootstrap"), Wanted.Content, Note,
                durationOf(Args, "--timeout", Duration(15000)));
  for (const BootstrapText &Row : BootstrapTexts)
    if (Row.Outcome == Outcome) {
      (Row.Code == ExitOk ? std::cout : std::cerr) << Row.Text << '\n';
      return Row.Code;
    }
  return ExitFailure;
}

int run(const Arguments &Args) {
  Draft Wanted = readDraft(*optionOf(Args, "DOCUMENT"));
  return optionOf(Args, "--bootstrap") ? applyToStore(Args, Wanted)
                                       : applyToServer(Args, Wanted);
}

} // namespace

const Command ApplyCommand = {"apply", Usage, run};

} // namespace teaselwalk::cli
