#ifndef LIMPETFALL_NODE_MAILBOX_H_
#define LIMPETFALL_NODE_MAILBOX_H_

#include <kj/async.h>

#include <deque>
#include <functional>
#include <mutex>
#include <utility>

// Internal to the package: a queue of tasks that any thread posts to the event loop.

namespace limpetfall::detail {

class Mailbox {
 public:
  using Task = std::function<void()>;

  /** Adds a task; returns false after `Close`. */
  bool Post(Task task) {
    const std::lock_guard lock(this->mutex);
    if (this->closed) return false;
    this->tasks.push_back(std::move(task));
    KJ_IF_MAYBE (fulfiller, this->wake_fulfiller) {
      (*fulfiller)->fulfill();
      this->wake_fulfiller = nullptr;
    }
    return true;
  }

  /** Returns a promise on the event loop that resolves when the queue is not empty. */
  kj::Promise<void> WhenNotEmpty() {
    const std::lock_guard lock(this->mutex);
    if (!this->tasks.empty()) return kj::READY_NOW;
    auto pair = kj::newPromiseAndCrossThreadFulfiller<void>();
    this->wake_fulfiller = kj::mv(pair.fulfiller);
    return kj::mv(pair.promise);
  }

  std::deque<Task> TakeAll() {
    const std::lock_guard lock(this->mutex);
    return std::exchange(this->tasks, {});
  }

  /** Rejects further tasks and destroys the queued ones on the calling thread. */
  void Close() {
    std::deque<Task> dropped;
    const std::lock_guard lock(this->mutex);
    this->closed = true;
    this->wake_fulfiller = nullptr;
    dropped.swap(this->tasks);
  }

 private:
  std::mutex mutex;
  std::deque<Task> tasks;
  kj::Maybe<kj::Own<kj::CrossThreadPromiseFulfiller<void>>> wake_fulfiller;
  bool closed = false;
};

}  // namespace limpetfall::detail

#endif  // LIMPETFALL_NODE_MAILBOX_H_
