// Exit codes of all programs.
#pragma once

namespace nutmegtally
{

enum class exit_code : int {
    success = 0,
    failed = 1,
    usage = 2,
    invalidSettings = 3,
    unreachable = 4,
    conflict = 5
};

} // namespace nutmegtally
