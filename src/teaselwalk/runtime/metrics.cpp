#include "teaselwalk/runtime/metrics.hpp"

#include "teaselwalk/base/error.hpp"

#include <algorithm>
#include <cctype>
#include <sstream>
#include <string_view>

namespace teaselwalk::runtime {
namespace {

constexpr std::string_view Prefix = "teaselwalk_";
constexpr std::string_view Units[] = {"_total", "_seconds", "_bytes",
                                      "_ratio", "_count",   "_info"};

bool hasUnit(std::string_view Name) {
  return std::any_of(std::begin(Units), std::end(Units),
                     [&](std::string_view Unit) {
                       return Name.size() > Unit.size() &&
                              Name.substr(Name.size() - Unit.size()) == Unit;
                     });
}

void checkName(const std::string &Name) {
  bool Clean = std::all_of(Name.begin(), Name.end(), [](unsigned char Byte) {
    return std::islower(Byte) || std::isdigit(Byte) || Byte == '_';
  });
  if (!Clean || Name.compare(0, Prefix.size(), Prefix) != 0 || !hasUnit(Name))
    throw InvalidInput("metric", "'" + Name +
                                     "' must start with teaselwalk_ and end "
                                     "with a unit such as _total or _seconds");
}

std::string escaped(const std::string &Value) {
  std::string Out;
  for (char Byte : Value) {
    if (Byte == '\\' || Byte == '"')
      Out += '\\';
    if (Byte == '\n')
      Out += "\\n";
    else
      Out += Byte;
  }
  return Out;
}

std::string labelText(const Metrics::Labels &Names) {
  std::string Out;
  for (const auto &[Name, Value] : Names)
    Out += (Out.empty() ? "" : ",") + Name + "=\"" + escaped(Value) + '"';
  return Out;
}

std::string inBraces(const std::string &Labels) {
  return Labels.empty() ? "" : '{' + Labels + '}';
}

void writeHead(std::ostream &Out, const std::string &Name,
               const std::string &Help, const char *Type) {
  Out << "# HELP " << Name << ' ' << Help << "\n# TYPE " << Name << ' ' << Type
      << '\n';
}

void writeTiming(std::ostream &Out, const std::string &Name,
                 const std::string &Labels, const Timing &Value) {
  Timing::Summary Sum = Value.summary();
  for (const auto &[Probability, Estimate] : Sum.Quantiles)
    Out << Name << '{' << Labels << (Labels.empty() ? "" : ",") << "quantile=\""
        << Probability << "\"} " << Estimate << '\n';
  Out << Name << "_sum" << inBraces(Labels) << ' ' << Sum.Sum << '\n'
      << Name << "_count" << inBraces(Labels) << ' ' << Sum.Count << '\n';
}

} // namespace

template <typename T>
T &Metrics::member(std::map<std::string, Family<T>> &Families,
                   const std::string &Name, const std::string &Help,
                   const Labels &Names) {
  checkName(Name);
  std::lock_guard<std::mutex> Lock(Mutex);
  Family<T> &Found = Families[Name];
  if (Found.Help.empty())
    Found.Help = Help;
  std::unique_ptr<T> &Slot = Found.Members[labelText(Names)];
  if (!Slot)
    Slot = std::make_unique<T>();
  return *Slot;
}

Counter &Metrics::counter(const std::string &Name, const std::string &Help,
                          const Labels &Names) {
  return member(Counters, Name, Help, Names);
}

Gauge &Metrics::gauge(const std::string &Name, const std::string &Help,
                      const Labels &Names) {
  return member(Gauges, Name, Help, Names);
}

Timing &Metrics::timing(const std::string &Name, const std::string &Help,
                        const Labels &Names) {
  return member(Timings, Name, Help, Names);
}

std::string Metrics::render() const {
  std::lock_guard<std::mutex> Lock(Mutex);
  std::ostringstream Out;
  Out.precision(10);
  for (const auto &[Name, Group] : Counters) {
    writeHead(Out, Name, Group.Help, "counter");
    for (const auto &[Labels, Value] : Group.Members)
      Out << Name << inBraces(Labels) << ' ' << Value->value() << '\n';
  }
  for (const auto &[Name, Group] : Gauges) {
    writeHead(Out, Name, Group.Help, "gauge");
    for (const auto &[Labels, Value] : Group.Members)
      Out << Name << inBraces(Labels) << ' ' << Value->value() << '\n';
  }
  for (const auto &[Name, Group] : Timings) {
    writeHead(Out, Name, Group.Help, "summary");
    for (const auto &[Labels, Value] : Group.Members)
      writeTiming(Out, Name, Labels, *Value);
  }
  return Out.str();
}

} // namespace teaselwalk::runtime
