// Instantiates the ledger with all safety rules, as daemons and embedding programs use it.
#include "ledger_core_impl.h"

namespace nutmegtally
{

template class basic_ledger_core<strict_ledger_policy>;

} // namespace nutmegtally
