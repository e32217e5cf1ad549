// JSON Schema of the settings file, embedded from config/entry.schema.json at build time.
#pragma once

namespace nutmegtally
{

extern const char *const entrySchemaText;

} // namespace nutmegtally
