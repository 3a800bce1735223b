// A target of the load model: a number of slots and a bounded queue.
#pragma once

#include "jasminequay/Model/loadplan.h"

#include <cstdint>
#include <deque>
#include <optional>

namespace jasminequay
{

/// Runs requests in the order of their arrival. A request is identified by the index of its attempt.
class ModelTarget
{
public:
    ModelTarget(unsigned slots, unsigned queue, QueuePolicy policy)
        : m_slots(slots)
        , m_queue(queue)
        , m_policy(policy)
    {
    }

    /// The outcome of an arrival.
    struct Arrival {
        bool isStarted = false; ///< Whether the request starts at once.
        std::optional<std::uint32_t> shed; ///< The request that is rejected, if any.
    };

    /// Adds a request: starts it, queues it, or rejects a request by the queue policy.
    Arrival arrive(std::uint32_t request)
    {
        if (m_running < m_slots) {
            ++m_running;
            return {true, std::nullopt};
        }
        if (m_waiting.size() < m_queue) {
            m_waiting.push_back(request);
            return {};
        }
        if (m_policy == QueuePolicy::RefuseNewest || m_queue == 0) {
            return {false, request};
        }
        const std::uint32_t oldest = m_waiting.front();
        m_waiting.pop_front();
        m_waiting.push_back(request);
        return {false, oldest};
    }

    [[nodiscard]] bool isFull() const
    {
        return m_running >= m_slots && m_waiting.size() >= m_queue;
    }

    /// Ends a running request. Returns the waiting request that starts in its slot, if any.
    std::optional<std::uint32_t> finish()
    {
        if (m_waiting.empty()) {
            --m_running;
            return std::nullopt;
        }
        const std::uint32_t next = m_waiting.front();
        m_waiting.pop_front();
        return next;
    }

private:
    unsigned m_slots;
    unsigned m_queue;
    QueuePolicy m_policy;
    unsigned m_running = 0;
    std::deque<std::uint32_t> m_waiting;
};

} // namespace jasminequay
