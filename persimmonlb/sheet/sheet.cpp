#include "persimmonlb/sheet/sheet.h"

#include <algorithm>

namespace persimmonlb
{

namespace
{

template <typename Row, typename Name, typename Projection>
const Row *findRow(const std::vector<Row> &rows, const Name &name, Projection projection)
{
    const auto row = std::ranges::find(rows, name, projection);
    return row == rows.end() ? nullptr : &*row;
}

} // namespace

const SheetService *Sheet::findService(const ServiceName &name) const
{
    return findRow(services, name, &SheetService::name);
}

const SheetModel *Sheet::findModel(const ModelName &name) const
{
    return findRow(models, name, &SheetModel::name);
}

const SheetQuota *Sheet::findQuota(const CallerName &caller) const
{
    return findRow(quotas, caller, &SheetQuota::caller);
}

} // namespace persimmonlb
