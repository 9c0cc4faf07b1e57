// Searches every order of a small case: three nodes, two eras of the store, two targets. One target drains and the other starts
// again under its id after the copy was made, so the copy lists both as they were before.
//
// A state is what each node knows (TargetTable), and how much the store has replayed. Steps: a node lists the store, a node
// gets the next write by its watch, a node sends its whole list to another, one such list is held up and arrives after any
// other steps, a node restarts with an empty table.
#include "mesh/targets.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <deque>
#include <set>

using namespace Fescuenotch;

namespace {

constexpr std::size_t Nodes = 3;
constexpr std::uint64_t FirstEra = 1;
constexpr std::uint64_t NextEra = 2;

TargetUpdate stated(const std::string &id, StorePosition position, TargetState state, TargetStatement statement)
{
    TargetUpdate update{id, position, TargetRecord{}};
    update.record->id = id;
    update.record->service = "desk";
    update.record->address = {"127.1.0." + id, 9'000};
    update.record->state = state;
    update.record->startedAtMs = statement.startedAtMs;
    update.record->sequence = statement.sequence;
    return update;
}

struct Node {
    TargetTable table;
    StorePosition position;
    bool hasSeenDrain = false; ///< knows that target 1 drains
    bool hasSeenRestart = false; ///< knows the second lifetime of target 2
};

/// A list of a node that is on its way.
struct Message {
    std::size_t to = 0;
    std::vector<TargetUpdate> updates;
    StorePosition position;
};

struct State {
    std::array<Node, Nodes> nodes;
    std::size_t writes = 0; ///< of `NewWrites` that the store has
    std::size_t restarts = 0;
    bool hasHeldUp = false; ///< only one message is held up
    std::optional<Message> heldUp;
};

constexpr TimePoint Now = TimePoint(seconds(1'000));

const std::vector<TargetUpdate> &copy()
{
    static const std::vector<TargetUpdate> items{stated("1", {NextEra, 11}, TargetState::Ready, {100, 1}),
                                                 stated("2", {NextEra, 12}, TargetState::Ready, {100, 1})};
    return items;
}

/// What the targets write again after the return.
const std::vector<TargetUpdate> &newWrites()
{
    static const std::vector<TargetUpdate> items{stated("2", {NextEra, 13}, TargetState::Ready, {200, 1}),
                                                 stated("1", {NextEra, 14}, TargetState::Draining, {100, 2})};
    return items;
}

std::vector<TargetUpdate> storeItems(std::size_t writes)
{
    auto items = copy();
    for (std::size_t n = 0; n < writes; ++n) {
        const auto &write = newWrites()[n];
        std::erase_if(items, [&](const auto &each) { return each.id == write.id; });
        items.push_back(write);
    }
    return items;
}

void observe(Node &node)
{
    const auto *first = node.table.find("1");
    const auto *second = node.table.find("2");
    node.hasSeenDrain = node.hasSeenDrain || (first != nullptr && first->state == TargetState::Draining);
    node.hasSeenRestart = node.hasSeenRestart || (second != nullptr && second->startedAtMs == 200);
}

void list(State &state, std::size_t n)
{
    const StorePosition position{NextEra, 12 + state.writes};
    state.nodes[n].table.applyListing(Now, storeItems(state.writes), position, TimePoint::min());
    state.nodes[n].position = std::max(state.nodes[n].position, position);
}

void receive(const Message &message, Node &to)
{
    to.table.applyListing(Now, message.updates, message.position, TimePoint::min());
    to.position = std::max(to.position, message.position);
}

void tell(const Node &from, Node &to)
{
    if (from.position != StorePosition{}) {
        receive({0, from.table.allUpdates(Now), from.position}, to);
    }
}

std::string keyOf(const std::vector<TargetUpdate> &updates, StorePosition position)
{
    auto key = "|" + std::to_string(position.era) + "." + std::to_string(position.revision);
    for (const auto &update : updates) {
        key += ";" + update.id + "@" + std::to_string(update.position.era) + "." + std::to_string(update.position.revision) + "s"
            + std::to_string(update.statedInEra.value_or(0)) + "b" + std::to_string(update.outdatedBefore.startedAtMs) + "."
            + std::to_string(update.outdatedBefore.sequence);
        key += !update.record ? "-" : update.record->state == TargetState::Ready ? "R" : "D";
        key += update.removeIn > milliseconds(0) ? "x" : "";
    }
    return key;
}

std::string keyOf(const State &state)
{
    auto key = std::to_string(state.writes) + "/" + std::to_string(state.restarts) + (state.hasHeldUp ? "h" : "");
    for (const auto &node : state.nodes) {
        key += keyOf(node.table.allUpdates(Now), node.position) + (node.hasSeenDrain ? "d" : "") + (node.hasSeenRestart ? "r" : "");
    }
    return state.heldUp ? key + "!" + std::to_string(state.heldUp->to) + keyOf(state.heldUp->updates, state.heldUp->position) : key;
}

/// States after one step.
std::vector<State> successors(const State &state)
{
    std::vector<State> next;
    const auto add = [&](auto step) {
        next.push_back(state);
        step(next.back());
        for (auto &node : next.back().nodes) {
            observe(node);
        }
    };
    if (state.writes < newWrites().size()) {
        add([](State &s) { ++s.writes; });
    }
    for (std::size_t n = 0; n < Nodes; ++n) {
        add([&](State &s) { list(s, n); });
        // A watch delivers the next write after the node's position.
        const auto &position = state.nodes[n].position;
        const auto seen = position.revision - 12;
        if (position.era == NextEra && seen < state.writes) {
            add([&](State &s) {
                s.nodes[n].table.apply(Now, newWrites()[seen], TimePoint::min());
                s.nodes[n].position.revision += 1;
            });
        }
        for (std::size_t to = 0; to < Nodes; ++to) {
            if (to != n) {
                add([&](State &s) { tell(state.nodes[n], s.nodes[to]); });
            }
            if (to != n && !state.hasHeldUp && position != StorePosition{}) {
                add([&](State &s) {
                    s.hasHeldUp = true;
                    s.heldUp = Message{to, state.nodes[n].table.allUpdates(Now), position};
                });
            }
        }
        if (state.restarts == 0) {
            add([&](State &s) {
                s.nodes[n] = Node{};
                ++s.restarts;
            });
        }
    }
    if (state.heldUp) {
        add([](State &s) {
            receive(*s.heldUp, s.nodes[s.heldUp->to]);
            s.heldUp.reset();
        });
    }
    return next;
}

/// Lists the store at every node, lets all tell all twice, and delivers what was held up.
void settle(State &state)
{
    state.writes = newWrites().size();
    for (std::size_t n = 0; n < Nodes; ++n) {
        list(state, n);
    }
    for (int round = 0; round < 2; ++round) {
        for (std::size_t from = 0; from < Nodes; ++from) {
            for (std::size_t to = 0; to < Nodes; ++to) {
                if (to != from) {
                    tell(state.nodes[from], state.nodes[to]);
                }
            }
        }
    }
    if (state.heldUp) {
        receive(*state.heldUp, state.nodes[state.heldUp->to]);
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(EraSearchTest)

/// Guards against an order of listings, watches, peers' lists and restarts in which a node uses a target that it knows to drain,
/// goes back to an ended lifetime, or differs from the others in the end.
BOOST_AUTO_TEST_CASE(storeRestored_everyOrderOfStepsOfThreeNodes_nothingKnownIsUndoneAndAllAgree)
{
    State start;
    for (std::size_t n = 0; n < Nodes; ++n) {
        auto &node = start.nodes[n];
        node.table.apply(Now, stated("1", {FirstEra, 11}, TargetState::Ready, {100, 1}), TimePoint::min());
        node.table.apply(Now, stated("2", {FirstEra, 12}, TargetState::Ready, {100, 1}), TimePoint::min());
        node.position = {FirstEra, 12};
        if (n != 2) { // the third node is cut off before the drain and the restart
            node.table.apply(Now, stated("1", {FirstEra, 90}, TargetState::Draining, {100, 2}), TimePoint::min());
            node.table.apply(Now, stated("2", {FirstEra, 91}, TargetState::Ready, {200, 1}), TimePoint::min());
            node.position = {FirstEra, 91};
        }
        observe(node);
    }
    std::set<std::string> seen{keyOf(start)};
    std::deque<State> open{start};
    std::size_t steps = 0;
    std::size_t undone = 0;
    std::size_t disagreeing = 0;
    while (!open.empty()) {
        const auto state = std::move(open.front());
        open.pop_front();
        for (const auto &node : state.nodes) {
            const auto *first = node.table.find("1");
            const auto *second = node.table.find("2");
            const bool usesDraining = node.hasSeenDrain && first != nullptr && first->state == TargetState::Ready;
            const bool usesEndedLifetime = node.hasSeenRestart && second != nullptr && second->startedAtMs != 200;
            undone += usesDraining || usesEndedLifetime ? 1 : 0;
        }
        auto settled = state;
        settle(settled);
        const auto digest = settled.nodes[0].table.digest();
        for (const auto &node : settled.nodes) {
            const auto usable = node.table.ofService("desk");
            const bool isRight = node.table.digest() == digest && usable.size() == 1 && usable.front().startedAtMs == 200;
            disagreeing += isRight ? 0 : 1;
        }
        for (auto &next : successors(state)) {
            ++steps;
            if (seen.insert(keyOf(next)).second) {
                open.push_back(std::move(next));
            }
        }
    }
    BOOST_TEST_MESSAGE("states " << seen.size() << ", steps " << steps);
    BOOST_TEST(seen.size() > 800U);
    BOOST_TEST(undone == 0U);
    BOOST_TEST(disagreeing == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
