// Event loop on a separate thread, for daemons whose main thread waits for signals.
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
    /// Starts the thread.
    /// @param failed Called on the loop's thread with an exception thrown by a task; the loop continues.
    explicit event_loop(std::function<void(const std::exception &)> failed);
    ~event_loop();
    event_loop(const event_loop &) = delete;
    event_loop &operator=(const event_loop &) = delete;

    boost::asio::io_context &context()
    {
        return m_context;
    }

    /// Queues a task for the loop; tasks run in the order of their posting. Thread-safe.
    void post(std::function<void()> task);

    /// Runs a task in the loop and waits until it has finished. Must not be called from the loop's own thread.
    /// @throws Whatever the task throws.
    void run(const std::function<void()> &task);

    /// Polls a condition in the loop until it holds. Must not be called from the loop's own thread.
    /// @return False on timeout.
    bool waitFor(const std::function<bool()> &condition, duration limit);

    /// Stops the loop and joins its thread. Queued tasks are never run.
    void stop();

private:
    void runLoop();

    std::function<void(const std::exception &)> m_failed;
    boost::asio::io_context m_context {1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work; // keeps the loop running while it has no tasks
    std::thread m_thread; // declared last: the thread uses the other members
};

} // namespace nutmegtally
