#include "persimmonlb/sheet/sheetregistry.h"

#include "persimmonlb/state/cborfields.h"
#include "persimmonlb/state/keys.h"

namespace persimmonlb
{

template <typename Visitor, Like<SheetAnswer> Value>
void visitFields(Visitor &visitor, Value &value)
{
    visitor("number", value.number);
    visitor("digest", value.digest);
    visitor("text", value.text);
    visitor("by", value.by);
    visitor("acceptedAt", value.acceptedAt);
}

SheetRegistry::SheetRegistry(StateStore store)
    : store_(std::move(store))
{
}

SheetReply SheetRegistry::reply(ResultCode code, std::string message) const
{
    return SheetReply{.code = code,
                      .message = std::move(message),
                      .numberInForce = answer_.number,
                      .digestInForce = answer_.digest};
}

SheetReply SheetRegistry::apply(const ApplySheet &command, MutationList &changes)
{
    const auto parsed = capture([&] { return parseSheet(command.text); });
    if (!parsed.ok()) {
        return reply(ResultCode::SheetMalformed, parsed.error().message);
    }
    const Sheet &sheet = parsed.value();
    const std::string inForce = "sheet " + std::to_string(answer_.number) + " is in force";
    if (sheet.number < answer_.number) {
        return reply(ResultCode::SheetNumberTooOld, inForce);
    }
    if (sheet.number == answer_.number && sheet.digest == answer_.digest) {
        return reply(ResultCode::SheetAlreadyAccepted, inForce);
    }
    if (sheet.number == answer_.number) {
        return reply(ResultCode::SheetNumberTaken,
                     inForce + " with another text, by " + answer_.by.value);
    }
    sheet_ = sheet;
    answer_ = SheetAnswer{.number = sheet.number,
                          .digest = sheet.digest,
                          .text = command.text,
                          .by = command.by,
                          .acceptedAt = command.at};
    changes.push_back({keys::sheet(sheet.number), encodeFields(answer_)});
    return reply(ResultCode::Ok, "");
}

const Sheet *SheetRegistry::inForce() const
{
    return sheet_ ? &*sheet_ : nullptr;
}

const SheetAnswer &SheetRegistry::answer() const
{
    return answer_;
}

Result<void> SheetRegistry::reload()
{
    sheet_.reset();
    answer_ = {};
    std::string last;
    store_.scan(keys::sheetPrefix, [&last](std::string_view, std::string_view value) {
        last = value;
        return true;
    });
    if (last.empty()) {
        return {};
    }
    const auto record = decodeFields<SheetAnswer>(last);
    if (!record.ok()) {
        return fail(ResultCode::CorruptStore, "the state store holds a bad sheet");
    }
    answer_ = record.value();
    BOOST_LEAF_ASSIGN(sheet_, parseSheet(answer_.text));
    return {};
}

} // namespace persimmonlb
