#pragma once

#include <boost/lockfree/queue.hpp>

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <semaphore>
#include <utility>

namespace fuchsialb {

/// \brief Bounded queue between threads: many producers, one consumer.
///
/// A push never blocks. The consumer either waits on the ring itself (`popWait`) or is woken by a hook, for threads
/// that wait inside a library's event loop.
template <typename T> class Ring {
public:
    /// \param capacity Largest number of items, 1 to 65534.
    explicit Ring(std::size_t capacity, std::function<void()> wake = {})
        : m_queue(capacity)
        , m_wake(std::move(wake))
    {
    }

    ~Ring()
    {
        T* item = nullptr;
        while (m_queue.pop(item))
            delete item;
    }

    Ring(const Ring&) = delete;
    Ring& operator=(const Ring&) = delete;

    /// \return False when the ring is full; the item is left untouched.
    bool push(T&& item)
    {
        auto owned = std::make_unique<T>(std::move(item));
        if (!m_queue.bounded_push(owned.get())) {
            item = std::move(*owned);
            return false;
        }
        static_cast<void>(owned.release());
        if (m_wake)
            m_wake();
        else
            m_ready.release();
        return true;
    }

    /// \return Whether an item was there.
    bool pop(T& item)
    {
        T* raw = nullptr;
        if (!m_queue.pop(raw))
            return false;
        const std::unique_ptr<T> owned(raw);
        item = std::move(*owned);
        return true;
    }

    /// Waits for an item; only for rings without a wake hook.
    bool popWait(T& item, std::chrono::microseconds timeout)
    {
        if (pop(item))
            return true;
        static_cast<void>(m_ready.try_acquire_for(timeout));
        return pop(item);
    }

private:
    boost::lockfree::queue<T*, boost::lockfree::fixed_sized<true>> m_queue;
    std::function<void()> m_wake;
    std::counting_semaphore<> m_ready { 0 };
};

} // namespace fuchsialb
