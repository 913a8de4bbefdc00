#include "persimmonlb/ctl/sheetcheck.h"

#include "persimmonlb/sheet/sheet.h"

namespace persimmonlb
{

SheetCheck checkSheet(std::string_view text)
{
    const Outcome<Sheet> outcome = capture([&] { return parseSheet(text); });
    if (!outcome.ok()) {
        return {false, outcome.error().message};
    }
    const Sheet &sheet = outcome.value();
    return {true,
            "sheet " + std::to_string(sheet.number)
                + " checks: " + std::to_string(sheet.services.size()) + " services, "
                + std::to_string(sheet.models.size()) + " models, "
                + std::to_string(sheet.roles.size()) + " roles, "
                + std::to_string(sheet.quotas.size()) + " quotas, digest " + sheet.digest};
}

} // namespace persimmonlb
