// JSON Schemas of the settings files, embedded in the programs so that a check needs no other file.
#pragma once

namespace nutmegtally
{

extern const char *const agentSchemaText;
extern const char *const routerSchemaText;

} // namespace nutmegtally
