#include "daemon/daemon_status.h"

namespace nutmegtally
{

namespace
{

constexpr const char *plainText = "text/plain; charset=utf-8";
constexpr unsigned maxStatusConnections = 32; // a few scrapers and health checks

} // namespace

std::unique_ptr<http_server> startStatusServer(event_loop &loop, const std::string &address, const daemon_metrics &metrics,
                                               readiness_check checkReadiness, std::function<void()> refresh)
{
    const auto serve
        = [&metrics, checkReadiness = std::move(checkReadiness), refresh = std::move(refresh)](const http_exchange::pointer &exchange) {
              const std::string path = exchange->path();
              if (path == "/healthz") {
                  exchange->reply(200, plainText, "ok\n");
              } else if (path == "/readyz") {
                  const std::string reason = checkReadiness();
                  exchange->reply(reason.empty() ? 200 : 503, plainText, reason.empty() ? "ready\n" : reason + "\n");
              } else if (path == "/metrics") {
                  refresh();
                  exchange->reply(200, "text/plain; version=0.0.4; charset=utf-8", metrics.text());
              } else {
                  exchange->reply(404, plainText, "the status listener serves /healthz, /readyz and /metrics\n");
              }
          };
    return startServer(loop, address, http_limits {.maxConnections = maxStatusConnections}, serve);
}

} // namespace nutmegtally
