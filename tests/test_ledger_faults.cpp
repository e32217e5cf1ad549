// Guards against an oracle that detects nothing. Each policy below disables one safety rule of the ledger; the resulting
// fault must be found within maxSequences command sequences. The number needed is printed.
#include "ledger_commands.h"

#include <boost/test/unit_test.hpp>

using namespace nutmegtally;
using namespace nutmegtally::testing;

namespace
{

struct send_before_claim : strict_ledger_policy {
    static constexpr bool storeClaimBeforeSend = false;
};

struct ignore_version_check : strict_ledger_policy {
    static constexpr bool fenceOnConflict = false;
};

struct timeout_is_not_run : strict_ledger_policy {
    static constexpr bool timeoutIsUnknown = false;
};

struct skip_body_check : strict_ledger_policy {
    static constexpr bool checkRequestHash = false;
};

constexpr int maxSequences = 5000;

/// @return Number of sequences up to and including the first that failed, or nothing if all passed.
template<ledger_policy Policy>
std::optional<int> sequencesUntilFailure(std::uint64_t seed)
{
    rc::detail::TestParams params;
    params.seed = seed;
    params.maxSuccess = maxSequences;
    const auto result = rc::detail::checkTestable([] { checkLedgerSequence<Policy>(false); }, rc::detail::TestMetadata(), params);
    rc::detail::FailureResult failure;
    if (!result.match(failure)) {
        return {};
    }
    BOOST_TEST_MESSAGE(failure.description);
    return failure.numSuccess + 1;
}

template<ledger_policy Policy>
void requireFound(const char *fault)
{
    for (const std::uint64_t seed : {11U, 12U, 13U}) {
        const std::optional<int> sequences = sequencesUntilFailure<Policy>(seed);
        BOOST_REQUIRE_MESSAGE(sequences, fault << " was not found in " << maxSequences << " sequences, seed " << seed);
        std::cout << fault << ": found after " << *sequences << " sequences, seed " << seed << '\n';
    }
}

} // namespace

BOOST_AUTO_TEST_CASE(ledgerOracle_sendBeforeClaim_isFound)
{
    requireFound<send_before_claim>("send before the claim is stored");
}

BOOST_AUTO_TEST_CASE(ledgerOracle_ignoredVersionCheck_isFound)
{
    requireFound<ignore_version_check>("ignore the version check");
}

BOOST_AUTO_TEST_CASE(ledgerOracle_timeoutAsNotRun_isFound)
{
    requireFound<timeout_is_not_run>("treat a time-out as not run");
}

BOOST_AUTO_TEST_CASE(ledgerOracle_skippedBodyCheck_isFound)
{
    requireFound<skip_body_check>("skip the body check");
}
