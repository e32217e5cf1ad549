// JSON Schemas of the settings files, built into the programs so that a check needs no further file.
#pragma once

namespace nutmegtally
{

extern const char *const agentSchemaText;
extern const char *const routerSchemaText;

} // namespace nutmegtally
