#pragma once

#include "core/rcu.h"

#include <atomic>
#include <memory>

namespace sardinecourse {

/** An immutable value that one writer replaces while many threads read it
 * (read-copy-update). Readers take no lock, do not allocate and never wait;
 * each reading thread needs an RcuThread. Publish() blocks for a grace period,
 * so call it only on a control thread. */
template<typename Value>
class Snapshot
{
public:
  /** A read section; it must end before the reader blocks or suspends. */
  class Reader
  {
  public:
    explicit Reader(const Snapshot& aSnapshot)
      : slot(&aSnapshot.current)
    {
      RcuReadLock();
      this->value = this->slot->load(std::memory_order_acquire);
    }
    ~Reader()
    {
      RcuAnnotateReadEnd(this->slot);
      RcuReadUnlock();
    }
    Reader(const Reader&) = delete;
    Reader& operator=(const Reader&) = delete;

    const Value& operator*() const { return *this->value; }
    const Value* operator->() const { return this->value; }

  private:
    const std::atomic<const Value*>* slot;
    const Value* value = nullptr;
  };

  explicit Snapshot(std::unique_ptr<const Value> aFirst)
    : current(aFirst.release())
  {
  }
  ~Snapshot() { delete this->current.load(std::memory_order_acquire); }
  Snapshot(const Snapshot&) = delete;
  Snapshot& operator=(const Snapshot&) = delete;

  Reader Read() const { return Reader(*this); }

  /** Replaces the value; blocks until no reader uses the previous one. */
  void Publish(std::unique_ptr<const Value> aNext)
  {
    const std::unique_ptr<const Value> previous(
      this->current.exchange(aNext.release(), std::memory_order_acq_rel));
    RcuSynchronize();
    RcuAnnotateGracePeriod(&this->current);
  }

private:
  std::atomic<const Value*> current;
};

}
