// Event loop on a thread of its own, for daemons whose main thread waits for signals.
#pragma once

#include <nutmegtally/time.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <exception>
#include <functional>
#include <thread>

namespace nutmegtally
{

class event_loop
{
public:
    /// @param failed Called in the loop with what a task threw; the loop goes on.
    explicit event_loop(std::function<void(const std::exception &)> failed);
    ~event_loop();
    event_loop(const event_loop &) = delete;
    event_loop &operator=(const event_loop &) = delete;

    boost::asio::io_context &context()
    {
        return m_context;
    }

    /// Runs a task in the loop, after those that were posted before. Thread-safe.
    void post(std::function<void()> task);

    /// Runs a task in the loop and waits for its end. Not from the loop's own thread.
    void run(const std::function<void()> &task);

    /// Waits until a condition holds in the loop. Not from the loop's own thread.
    /// @return False if the time ran out.
    bool waitFor(const std::function<bool()> &condition, duration limit);

    /// Ends the loop's thread; tasks that wait are never run.
    void stop();

private:
    void runLoop();

    std::function<void(const std::exception &)> m_failed;
    boost::asio::io_context m_context {1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    std::thread m_thread; // last: starts when the other members exist
};

} // namespace nutmegtally
