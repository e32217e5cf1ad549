// Status listener of a daemon: /healthz, /readyz and /metrics.
#pragma once

#include "daemon/daemon_http.h"
#include "daemon/daemon_metrics.h"

#include <functional>
#include <string>

namespace nutmegtally
{

/// @return Why the daemon is not ready; empty if it is ready.
using readiness_check = std::function<std::string()>;

/// Starts the status listener.
/// @param refresh Called before each scrape to update gauges.
std::unique_ptr<http_server> startStatusServer(event_loop &loop, const std::string &address, const daemon_metrics &metrics,
                                               readiness_check checkReadiness, std::function<void()> refresh);

} // namespace nutmegtally
