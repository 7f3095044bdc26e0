#include "teaselwalk/base/error.hpp"
#include "teaselwalk/config/document.hpp"
#include "teaselwalk/settings/settings.hpp"

#include "command_rows.hpp"
#include "remote.hpp"

#include <iostream>
#include <sstream>

namespace teaselwalk::cli {
namespace {

constexpr const char *Usage =
    R"(Checks settings and documents without starting anything.

Usage:
  teaselwalk check [--settings FILE]... [--document FILE]...
  teaselwalk check --help

Options:
  --settings FILE  Settings of an entry process (TOML).
  --document FILE  Configuration document (JSON).

Exit code: 0 if every file is right, 2 if there is a mistake.)";

using Files = std::vector<std::string>;

Files filesOf(const Arguments &Args, const char *Name) {
  auto Found = Args.find(Name);
  if (Found == Args.end() || !Found->second.isStringList())
    return {};
  return Found->second.asStringList();
}

/// Runs \p Read and prints its mistakes. Returns their number.
template <typename Function>
size_t report(const std::string &Prefix, const Function &Read) {
  try {
    Read();
    return 0;
  } catch (const InvalidInput &Failure) {
    for (const FieldError &Row : Failure.errors())
      std::cerr << Prefix << Row.Field << ": " << Row.Message << '\n';
    return Failure.errors().size();
  } catch (const Error &Failure) {
    std::cerr << Failure.what() << '\n';
    return 1;
  }
}

/// A process of a data centre that the document lacks would never start work.
size_t checkDataCentre(const settings::Settings &Process,
                       const std::string &File,
                       const config::Document &Document,
                       const std::string &DocumentFile) {
  if (config::findDataCentre(Document, Process.DataCentre))
    return 0;
  std::cerr << File << ": process.data_centre: is \"" << Process.DataCentre
            << "\", which " << DocumentFile << " does not contain\n";
  return 1;
}

int run(const Arguments &Args) {
  Files SettingsFiles = filesOf(Args, "--settings");
  Files DocumentFiles = filesOf(Args, "--document");
  if (SettingsFiles.empty() && DocumentFiles.empty())
    throw InvalidInput("check", "needs --settings or --document");
  size_t Mistakes = 0;
  std::vector<std::pair<std::string, settings::Settings>> Processes;
  std::vector<std::pair<std::string, config::Document>> Documents;
  for (const std::string &File : SettingsFiles)
    Mistakes += report("", [&] {
      std::istringstream In(readFile(File));
      Processes.emplace_back(File, settings::loadSettings(In, File));
    });
  for (const std::string &File : DocumentFiles)
    Mistakes += report(File + ": ", [&] {
      Documents.emplace_back(File, config::parseDocument(readFile(File)));
    });
  for (const auto &[File, Process] : Processes)
    for (const auto &[DocumentFile, Document] : Documents)
      Mistakes += checkDataCentre(Process, File, Document, DocumentFile);
  if (Mistakes > 0) {
    std::cerr << Mistakes << " mistakes; nothing was changed\n";
    return ExitBadUsage;
  }
  std::cout << SettingsFiles.size() << " settings files and "
            << DocumentFiles.size() << " documents are right\n";
  return ExitOk;
}

} // namespace

const Command CheckCommand = {"check", Usage, run};

} // namespace teaselwalk::cli
