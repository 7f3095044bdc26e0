#include "poller.hpp"

#include "teaselwalk/base/error.hpp"

#include <cerrno>
#include <string>
#include <system_error>

#include <sys/eventfd.h>
#include <unistd.h>

namespace teaselwalk::http {

void Descriptor::reset() {
  if (isOpen())
    ::close(std::exchange(Number, -1));
}

Poller::Poller()
    : Epoll(epoll_create1(EPOLL_CLOEXEC)),
      WakeUp(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
  epoll_event Interest{};
  Interest.events = EPOLLIN;
  Interest.data.u64 = WakeTag;
  if (!Epoll.isOpen() || !WakeUp.isOpen() ||
      epoll_ctl(Epoll.number(), EPOLL_CTL_ADD, WakeUp.number(), &Interest) < 0)
    throw Error("cannot create the HTTP client's event queue: " +
                std::generic_category().message(errno));
}

bool Poller::add(const Descriptor &Socket, uint64_t Tag) {
  epoll_event Interest{};
  Interest.events = EPOLLIN | EPOLLOUT | EPOLLRDHUP | EPOLLET;
  Interest.data.u64 = Tag;
  return epoll_ctl(Epoll.number(), EPOLL_CTL_ADD, Socket.number(), &Interest) ==
         0;
}

size_t Poller::wait(int TimeoutMs) {
  int Count = epoll_wait(Epoll.number(), Events.data(),
                         static_cast<int>(Events.size()), TimeoutMs);
  size_t Kept = 0;
  for (int I = 0; I < Count; ++I) {
    if (Events[I].data.u64 != WakeTag) {
      Events[Kept++] = Events[I];
      continue;
    }
    uint64_t Value = 0;
    [[maybe_unused]] ssize_t Got =
        ::read(WakeUp.number(), &Value, sizeof Value);
  }
  return Kept;
}

Poller::Event Poller::event(size_t Index) const {
  const epoll_event &Seen = Events[Index];
  constexpr uint32_t CloseMask = EPOLLRDHUP | EPOLLHUP | EPOLLERR;
  Event Out;
  Out.Tag = Seen.data.u64;
  Out.Closed = (Seen.events & CloseMask) != 0;
  Out.Readable = Out.Closed || (Seen.events & EPOLLIN) != 0;
  Out.Writable = (Seen.events & (EPOLLOUT | EPOLLERR | EPOLLHUP)) != 0;
  return Out;
}

void Poller::wake() const {
  uint64_t One = 1;
  [[maybe_unused]] ssize_t Put = ::write(WakeUp.number(), &One, sizeof One);
}

} // namespace teaselwalk::http
