#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <utility>

#include "persimmonlb/testing/trial/scheduler.h"

namespace persimmonlb::trial
{

namespace
{

constexpr Milliseconds usualHold{900}; ///< Of a slot, by an online request.
constexpr Milliseconds ownerInterval{20};

struct Item {
    BatchItem spec;
    MonotonicTime dueAt;
    std::uint32_t next = 0; ///< Events so far.
    std::optional<std::uint64_t> run;
    std::size_t server = 0;
};

class ViewScheduler : public std::enable_shared_from_this<ViewScheduler>
{
public:
    ViewScheduler(SchedulerWorld world, ViewOptions options)
        : world_(std::move(world))
        , options_(options)
        , up_(world_.fleet.size(), true)
        , views_(world_.entries + 1, View(world_.fleet.size()))
    {
    }

    void begin()
    {
        look();
        own();
    }
    void arrive(const Attempt &attempt);
    void ended(std::uint64_t attempt, std::size_t server, bool whole);
    void acceptJob(const std::vector<std::pair<std::uint64_t, BatchItem>> &items,
                   Milliseconds dueIn);
    void serverChanged(std::size_t server, bool up);

    [[nodiscard]] std::uint32_t batchRunning() const
    {
        std::uint32_t running = 0;
        for (const auto &[number, item] : items_) {
            running += item.run ? 1 : 0;
        }
        return running;
    }

    SchedulerCost cost;

private:
    /// What one host knows; the last view is the batch owner's.
    struct View {
        explicit View(std::size_t servers)
            : others(servers)
            , batch(servers)
            , own(servers)
        {
        }
        std::vector<std::uint32_t> others; ///< Of every other sender, when it was looked at.
        std::vector<std::uint32_t> batch; ///< Of these, batch runs.
        std::vector<std::uint32_t> own; ///< In flight now.
    };

    [[nodiscard]] std::uint32_t loadOf(const View &view, std::size_t server) const
    {
        return view.others[server] + view.own[server];
    }
    std::optional<std::size_t> choose(View &view);
    void look();
    void own();
    void startItems();
    void startItem(std::uint64_t number, std::size_t server);
    void yieldOn(std::size_t server);
    void stopItem(Item &item);
    View &owner()
    {
        return views_.back();
    }

    SchedulerWorld world_;
    ViewOptions options_;
    std::vector<bool> up_;
    std::vector<View> views_;
    std::size_t nextInTurn_ = 0;
    std::map<std::uint64_t, std::size_t> entryOf_; ///< Of attempts that were sent.
    std::map<std::uint64_t, Item> items_; ///< Not yet complete.
};

std::optional<std::size_t> ViewScheduler::choose(View &view)
{
    std::optional<std::size_t> best;
    std::uint32_t lowest = 0;
    std::uint64_t equals = 0;
    for (std::size_t offset = 0; offset < up_.size(); ++offset) {
        const std::size_t server = (nextInTurn_ + offset) % up_.size();
        if (!up_[server]) {
            continue;
        }
        if (options_.choice == ViewOptions::Choice::RoundRobin) {
            nextInTurn_ = server + 1;
            return server;
        }
        const std::uint32_t load = options_.choice == ViewOptions::Choice::OwnLeastInFlight
            ? view.own[server]
            : loadOf(view, server);
        if (best && load > lowest) {
            continue;
        }
        equals = best && load == lowest ? equals + 1 : 1;
        if (equals == 1 || world_.random() % equals == 0) {
            best = server;
            lowest = load;
        }
    }
    return best;
}

void ViewScheduler::arrive(const Attempt &attempt)
{
    const Stopwatch watch(cost.deciding);
    View &view = views_[attempt.entry];
    const auto server = choose(view);
    if (!server) {
        world_.decisions.refuse(attempt.number, Milliseconds(500));
        return;
    }
    const std::uint32_t slots = world_.fleet.slots();
    const std::uint32_t load = loadOf(view, *server);
    if (load >= slots && options_.yields && view.batch[*server] > 0) {
        --view.batch[*server];
        --view.others[*server];
        ++cost.messages;
        world_.time.after(world_.hop,
                          [self = shared_from_this(), server = *server] { self->yieldOn(server); });
    } else if (load >= slots && options_.refuses) {
        const Milliseconds wait = usualHold * (load - slots + 1) / slots;
        if (wait > attempt.objective - firstEventAllowance()) {
            const auto spread = static_cast<std::int64_t>(world_.random() % 100);
            world_.decisions.refuse(attempt.number, wait + Milliseconds(spread));
            return;
        }
    }
    ++view.own[*server];
    entryOf_[attempt.number] = attempt.entry;
    world_.decisions.send(attempt.number, *server);
}

void ViewScheduler::ended(std::uint64_t attempt, std::size_t server, bool /*whole*/)
{
    const auto entry = entryOf_.find(attempt);
    if (entry == entryOf_.end()) {
        return;
    }
    std::uint32_t &own = views_[entry->second].own[server];
    own -= std::min(own, 1U);
    entryOf_.erase(entry);
}

void ViewScheduler::look()
{
    std::vector<std::uint32_t> total(up_.size());
    for (const View &view : views_) {
        for (std::size_t server = 0; server < total.size(); ++server) {
            total[server] += view.own[server];
        }
    }
    const std::size_t senders = options_.peers ? world_.entries : up_.size();
    cost.messages += senders * world_.entries;
    for (std::size_t i = 0; i < views_.size(); ++i) {
        std::vector<std::uint32_t> others = total;
        for (std::size_t server = 0; server < total.size(); ++server) {
            others[server] -= views_[i].own[server];
        }
        world_.time.after(
            options_.lag,
            [self = shared_from_this(), i, others = std::move(others), batch = owner().own] {
                self->views_[i].others = others;
                self->views_[i].batch = batch;
            });
    }
    world_.time.after(options_.interval, [self = shared_from_this()] { self->look(); });
}

void ViewScheduler::own()
{
    startItems();
    world_.time.after(ownerInterval, [self = shared_from_this()] { self->own(); });
}

void ViewScheduler::acceptJob(const std::vector<std::pair<std::uint64_t, BatchItem>> &items,
                              Milliseconds dueIn)
{
    const MonotonicTime dueAt = world_.time.clock().monotonic() + dueIn;
    for (const auto &[number, spec] : items) {
        items_.emplace(
            number,
            Item{.spec = spec, .dueAt = dueAt, .next = 0, .run = std::nullopt, .server = 0});
    }
}

void ViewScheduler::startItems()
{
    for (std::size_t server = 0; server < up_.size(); ++server) {
        while (up_[server] && loadOf(owner(), server) < world_.fleet.slots()) {
            std::optional<std::uint64_t> first;
            for (const auto &[number, item] : items_) {
                if (!item.run && (!first || item.dueAt < items_.at(*first).dueAt)) {
                    first = number;
                }
            }
            if (!first) {
                return;
            }
            startItem(*first, server);
        }
    }
}

void ViewScheduler::startItem(std::uint64_t number, std::size_t server)
{
    Item &item = items_.at(number);
    item.server = server;
    ++owner().own[server];
    RunHooks hooks;
    hooks.event = [self = shared_from_this(), number](std::uint32_t index, bool last) {
        Item &running = self->items_.at(number);
        running.next = index + 1;
        ++self->cost.batchEvents;
        if (last) {
            self->stopItem(running);
            self->items_.erase(number);
            self->world_.decisions.itemDone(number);
        }
    };
    hooks.lost = [self = shared_from_this(), number] {
        self->stopItem(self->items_.at(number));
    };
    item.run = world_.fleet.start(server, item.spec.prompt, item.next, item.spec.events,
                                  std::move(hooks));
}

void ViewScheduler::stopItem(Item &item)
{
    item.run.reset();
    std::uint32_t &own = owner().own[item.server];
    own -= std::min(own, 1U);
}

void ViewScheduler::yieldOn(std::size_t server)
{
    Item *latest = nullptr;
    for (auto &[number, item] : items_) {
        if (item.run && item.server == server
            && (latest == nullptr || item.dueAt > latest->dueAt)) {
            latest = &item;
        }
    }
    if (latest != nullptr) {
        world_.fleet.cancel(*latest->run);
        stopItem(*latest);
    }
}

void ViewScheduler::serverChanged(std::size_t server, bool up)
{
    up_[server] = up;
}

} // namespace

Scheduler makeViewScheduler(SchedulerWorld world, ViewOptions options)
{
    return schedulerOf(std::make_shared<ViewScheduler>(std::move(world), options));
}

} // namespace persimmonlb::trial
