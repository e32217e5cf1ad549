// The settings' JSON Schema, built in from config/entry.schema.json.
#pragma once

namespace nutmegtally
{

extern const char *const entrySchemaText;

} // namespace nutmegtally
