#include "persimmonlb/ctl/sheetcheck.h"

namespace persimmonlb
{

SheetCheck checkSheet(std::string_view)
{
    return {false, "this build has no sheet parser"};
}

} // namespace persimmonlb
