#include "teaselwalk/cell/configuration.hpp"

namespace teaselwalk::cell {

void Configuration::index() {
  TeamByKey.clear();
  TeamByName.clear();
  QueueByName.clear();
  QueuesByHost.clear();
  for (size_t I = 0; I < Teams.size(); ++I) {
    TeamByName[Teams[I].Name] = I;
    for (const std::string &Key : Teams[I].Keys)
      TeamByKey[Key] = I;
  }
  for (size_t I = 0; I < Queues.size(); ++I) {
    QueueByName[Queues[I].Name] = I;
    QueuesByHost[Queues[I].Host].push_back(I);
  }
}

const Queue *Configuration::findQueue(const std::string &Host,
                                      const std::string &Path) const {
  auto It = QueuesByHost.find(Host);
  if (It == QueuesByHost.end())
    return nullptr;
  const Queue *Best = nullptr;
  for (size_t I : It->second) {
    const Queue &Candidate = Queues[I];
    const std::string &Prefix = Candidate.PathPrefix;
    bool Matches = Path.compare(0, Prefix.size(), Prefix) == 0;
    if (Matches && (Best == nullptr || Prefix.size() > Best->PathPrefix.size()))
      Best = &Candidate;
  }
  return Best;
}

const Queue *Configuration::queueNamed(const std::string &Name) const {
  auto It = QueueByName.find(Name);
  return It == QueueByName.end() ? nullptr : &Queues[It->second];
}

const Team *Configuration::teamOfKey(const std::string &Key) const {
  auto It = TeamByKey.find(Key);
  return It == TeamByKey.end() ? nullptr : &Teams[It->second];
}

const Team *Configuration::teamNamed(const std::string &Name) const {
  auto It = TeamByName.find(Name);
  return It == TeamByName.end() ? nullptr : &Teams[It->second];
}

} // namespace teaselwalk::cell
