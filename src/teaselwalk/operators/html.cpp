#include "html.hpp"

namespace teaselwalk::operators {

std::string htmlPage(const std::string &Title, const std::string &Content) {
  return "<!DOCTYPE html><html lang=\"en\"><head><meta charset=\"utf-8\">"
         "<meta name=\"referrer\" content=\"no-referrer\"><title>" +
         escapeHtml(Title) +
         "</title><style>body{font-family:sans-serif;margin:2em}"
         "td,th{padding:.3em .6em;text-align:left;vertical-align:top}"
         "form{display:inline-block;margin:.2em}input{max-width:9em}"
         ".danger{color:#a00;font-weight:bold}code{background:#eee}"
         "</style></head><body><h1>" +
         escapeHtml(Title) + "</h1>" + Content + "</body></html>\n";
}

std::string element(const char *Tag, const std::string &Text) {
  return std::string("<") + Tag + ">" + escapeHtml(Text) + "</" + Tag + ">";
}

std::string hidden(const std::string &Name, const std::string &Value) {
  return "<input type=\"hidden\" name=\"" + escapeHtml(Name) + "\" value=\"" +
         escapeHtml(Value) + "\">";
}

std::string input(const std::string &Label, const std::string &Name,
                  const std::string &Value) {
  return "<label>" + escapeHtml(Label) + " <input name=\"" + escapeHtml(Name) +
         "\" value=\"" + escapeHtml(Value) + "\"></label> ";
}

std::string select(const std::string &Name,
                   const std::vector<std::string> &Choices,
                   const std::string &Chosen) {
  std::string Out = "<select name=\"" + escapeHtml(Name) + "\">";
  for (const std::string &Choice : Choices)
    Out += std::string("<option") + (Choice == Chosen ? " selected" : "") +
           ">" + escapeHtml(Choice) + "</option>";
  return Out + "</select> ";
}

std::string postForm(const std::string &Target, const HiddenFields &Fields,
                     const std::string &Content, const std::string &Button) {
  std::string Out =
      "<form method=\"post\" action=\"" + escapeHtml(Target) + "\">";
  for (const auto &[Name, Value] : Fields)
    Out += hidden(Name, Value);
  return Out + Content + "<button>" + escapeHtml(Button) + "</button></form>";
}

} // namespace teaselwalk::operators
