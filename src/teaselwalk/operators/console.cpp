#include "console.hpp"

#include "console_actions.hpp"
#include "console_pages.hpp"

namespace teaselwalk::operators {
namespace {

http::Response html(int Status, std::string Page) {
  return {Status, std::move(Page), "text/html; charset=utf-8"};
}

/// The change that a form asks for, and the key made for it.
struct FormChange {
  ChangeRequest Request;
  std::string NewKey;
};

/// The revision of the page that the form was on. A form without it conflicts
/// with every revision.
uint64_t baseOf(const Form &Fields) {
  std::string Text = Fields.text("base_revision");
  bool Digits = !Text.empty() && Text.size() <= 18 &&
                Text.find_first_not_of("0123456789") == std::string::npos;
  return Digits ? std::stoull(Text) : 0;
}

FormChange changeOf(const PageContext &Context, const CurrentConfig &Current,
                    const Form &Fields, const OperatorOptions &Options) {
  FormChange Out;
  Out.Request.Base = baseOf(Fields);
  // The edit is always made on the newest document; with an older base the
  // change ends as a conflict.
  Edit Made = editedBy(Current.Snapshot.Content, Fields, Options.RandomBytes);
  Out.Request.Wanted = std::move(Made.Wanted);
  Out.NewKey = Made.NewKey;
  Out.Request.Who = Context.Operator;
  Out.Request.Why = Fields.text("why");
  Out.Request.Confirm = Fields.text("confirm");
  return Out;
}

struct StatusRow {
  ChangeState State;
  int Status;
};

constexpr StatusRow Statuses[] = {
    {ChangeState::Accepted, 200},     {ChangeState::Unchanged, 200},
    {ChangeState::NeedsConfirm, 422}, {ChangeState::Conflict, 409},
    {ChangeState::Unknown, 503},      {ChangeState::StoreUnavailable, 503},
};

int statusOf(ChangeState State) {
  for (const StatusRow &Row : Statuses)
    if (Row.State == State)
      return Row.Status;
  return 500;
}

} // namespace

void Console::handle(const CurrentConfig &Current, const http::Request &Message,
                     const OperatorApi::Answer &Done) {
  if (Message.Method == "GET" && pathOf(Message) == "/console")
    return Done(html(200, loginPage("")));
  if (Message.Method != "POST")
    return Done(html(404, loginPage("There is no such page.")));
  Form Fields = Form::parse(Message.Body);
  const config::Document &Document = Current.Snapshot.Content;
  PageContext Context{Fields.text("session"), ""};
  bool Login = pathOf(Message) == "/console/login";
  if (Login)
    Context.Session =
        Open.begin(Document, Fields.text("credential")).value_or("");
  auto Operator = Open.find(Document, Context.Session);
  if (!Operator)
    return Done(html(401, loginPage(Login ? "This credential is not valid."
                                          : "Log in to go on.")));
  Context.Operator = *Operator;
  try {
    answerSession(Context, Current, pathOf(Message), Fields, Done);
  } catch (const InvalidInput &Failure) {
    Done(html(422, mistakesPage(Context, Failure.errors())));
  }
}

void Console::answerSession(const PageContext &Context,
                            const CurrentConfig &Current,
                            const std::string &Path, const Form &Fields,
                            const OperatorApi::Answer &Done) {
  if (Path == "/console/draft")
    return answerDraft(Context, Current, Fields, Done);
  if (Path == "/console/confirm")
    return answerConfirm(Context, Current, Fields, Done);
  Done(html(200, homePage(Context, Current, Backend.inForce())));
}

void Console::answerDraft(const PageContext &Context,
                          const CurrentConfig &Current, const Form &Fields,
                          const OperatorApi::Answer &Done) {
  FormChange Change = changeOf(Context, Current, Fields, Options);
  ChangeOutcome Draft = draft(Current, Change.Request, Backend.running());
  if (Draft.State == ChangeState::NeedsConfirm)
    return Done(html(200, draftPage(Context, Fields, Draft)));
  Done(html(statusOf(Draft.State), resultPage(Context, Draft, "")));
}

void Console::answerConfirm(const PageContext &Context,
                            const CurrentConfig &Current, const Form &Fields,
                            const OperatorApi::Answer &Done) {
  FormChange Change = changeOf(Context, Current, Fields, Options);
  apply(Backend, Current, Change.Request, Options.WallClockMs(),
        [Done, Context, Key = Change.NewKey](const ChangeOutcome &Outcome) {
          Done(
              html(statusOf(Outcome.State), resultPage(Context, Outcome, Key)));
        });
}

} // namespace teaselwalk::operators
