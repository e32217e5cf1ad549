#include "serving/event_loop.h"

#include "serving/serving_limits.h"

#include <boost/asio/post.hpp>

#include <chrono>
#include <future>

namespace nutmegtally
{

event_loop::event_loop(std::function<void(const std::exception &)> failed)
    : m_failed(std::move(failed))
    , m_work(m_context.get_executor())
    , m_thread([this] { runLoop(); })
{
}

event_loop::~event_loop()
{
    stop();
}

void event_loop::runLoop()
{
    for (;;) {
        try {
            m_context.run();
            return;
        } catch (const std::exception &fault) {
            m_failed(fault);
        }
    }
}

void event_loop::post(std::function<void()> task)
{
    boost::asio::post(m_context, std::move(task));
}

void event_loop::run(const std::function<void()> &task)
{
    std::promise<void> done;
    post([&] {
        try {
            task();
            done.set_value();
        } catch (...) {
            done.set_exception(std::current_exception());
        }
    });
    done.get_future().get();
}

bool event_loop::waitFor(const std::function<bool()> &condition, duration limit)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    for (;;) {
        bool holds = false;
        run([&] { holds = condition(); });
        if (holds || std::chrono::steady_clock::now() >= end) {
            return holds;
        }
        std::this_thread::sleep_for(serving_limits::pollInterval);
    }
}

void event_loop::stop()
{
    m_context.stop();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

} // namespace nutmegtally
