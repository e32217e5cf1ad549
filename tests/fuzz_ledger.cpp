// Guards against lost and duplicate bookings in random interleavings of crashes, pauses, lost responses, outages and
// changes of owner. RC_PARAMS sets the number of sequences.
#include "ledger_commands.h"

using namespace nutmegtally;
using namespace nutmegtally::testing;

int main()
{
    const bool plain = rc::check("ledger, service that runs every call", [] { checkLedgerSequence<strict_ledger_policy>(false); });
    const bool checking = rc::check("ledger, service that checks keys", [] { checkLedgerSequence<strict_ledger_policy>(true); });
    return plain && checking ? 0 : 1;
}
