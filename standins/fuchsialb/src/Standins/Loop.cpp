#include "Loop.h"

#include <asio.hpp>

#include <thread>

namespace fuchsialb::standins {

namespace {

    class AsioLoop final : public Loop {
    public:
        AsioLoop()
            : m_work(asio::make_work_guard(m_context))
            , m_thread([this] { m_context.run(); })
        {
        }

        AsioLoop(const AsioLoop&) = delete;
        AsioLoop& operator=(const AsioLoop&) = delete;

        ~AsioLoop() override { AsioLoop::stop(); }

        void post(std::function<void()> task) override { asio::post(m_context, std::move(task)); }

        void after(Duration delay, std::function<void()> task) override
        {
            const auto timer = std::make_shared<asio::steady_timer>(m_context, delay);
            timer->async_wait([timer, task = std::move(task)](const asio::error_code& failure) {
                if (!failure)
                    task();
            });
        }

        void stop() override
        {
            m_context.stop();
            if (m_thread.joinable())
                m_thread.join();
        }

    private:
        asio::io_context m_context;
        asio::executor_work_guard<asio::io_context::executor_type> m_work;
        std::thread m_thread;
    };

} // namespace

std::shared_ptr<Loop> Loop::create() { return std::make_shared<AsioLoop>(); }

} // namespace fuchsialb::standins
