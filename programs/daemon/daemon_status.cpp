#include "daemon/daemon_status.h"

namespace nutmegtally
{

namespace
{

constexpr const char *plainText = "text/plain; charset=utf-8";

} // namespace

http_handler statusHandler(const daemon_metrics &metrics, readiness notReady, std::function<void()> refresh)
{
    return [&metrics, notReady = std::move(notReady), refresh = std::move(refresh)](http_exchange &exchange) {
        const std::string path = exchange.path();
        if (path == "/healthz") {
            exchange.reply(200, plainText, "ok\n");
            return;
        }
        if (path == "/readyz") {
            const std::string reason = notReady();
            exchange.reply(reason.empty() ? 200 : 503, plainText, reason.empty() ? "ready\n" : reason + "\n");
            return;
        }
        if (path == "/metrics") {
            refresh();
            exchange.reply(200, "text/plain; version=0.0.4; charset=utf-8", metrics.text());
            return;
        }
        exchange.reply(404, plainText, "the status listener serves /healthz, /readyz and /metrics\n");
    };
}

} // namespace nutmegtally
