// Sections: [one era] [new era] [search]
#include "mesh/evacuations.h"
#include "mesh/targets.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <random>

using namespace Fescuenotch;

namespace {

constexpr TimePoint Start = TimePoint(seconds(1'000));

struct EvacuationsFixture {
    TimePoint now = Start;
    Evacuations evacuations;

    std::optional<EvacuationChange> apply(StorePosition position, bool evacuated, const std::string &dataCentre = "one")
    {
        return evacuations.apply(now, {dataCentre, position, evacuated}, "store");
    }

    std::vector<EvacuationChange> list(StorePosition position, const std::vector<EvacuationUpdate> &items = {})
    {
        return evacuations.applyListing(now, items, position, "store");
    }

    bool isEvacuated() const
    {
        return evacuations.isEvacuated("one");
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(EvacuationsTest, EvacuationsFixture)

// ---- [one era] --------------------------------------------------------------------------------------------------

BOOST_AUTO_TEST_CASE(start_beforeAnyListing_nothingIsKnownAndTheDigestIsZero)
{
    BOOST_TEST(!evacuations.isKnown());
    BOOST_TEST(evacuations.digest() == 0U);
    list({1, 10});
    BOOST_TEST(evacuations.isKnown());
    BOOST_TEST(evacuations.digest() != 0U);
}

/// Guards against an update that arrives late, by a peer or a repeated watch, and undoes a newer one.
BOOST_AUTO_TEST_CASE(apply_lowerPosition_changesNothing)
{
    list({1, 10});
    BOOST_TEST((apply({1, 12}, true)->kind == EvacuationChange::Kind::Evacuated));
    BOOST_TEST((apply({1, 14}, false)->kind == EvacuationChange::Kind::Lifted));
    BOOST_TEST(!apply({1, 12}, true).has_value());
    BOOST_TEST(!apply({1, 14}, true).has_value());
    BOOST_TEST(!isEvacuated());
}

BOOST_AUTO_TEST_CASE(apply_evacuatedTwice_reportsOneChangeAndNeedsOneRemoval)
{
    BOOST_TEST(apply({1, 12}, true).has_value());
    const auto generation = evacuations.generation();
    BOOST_TEST(!apply({1, 13}, true).has_value());
    BOOST_TEST(evacuations.generation() == generation);
    BOOST_TEST(evacuations.evacuated() == 1U);
    apply({1, 14}, false);
    BOOST_TEST(!isEvacuated());
}

/// A watch begins before the revision of the listing, so it repeats writes that the listing has taken into account.
BOOST_AUTO_TEST_CASE(apply_writeBeforeAListingThatLacksIt_isIgnored)
{
    list({1, 20});
    BOOST_TEST(!apply({1, 15}, true).has_value());
    BOOST_TEST(!isEvacuated());
}

/// Guards against an evacuation that stays in force because its removal fell into a gap of the watch.
BOOST_AUTO_TEST_CASE(listing_lacksAnEvacuation_liftsItUnlessItIsNewer)
{
    apply({1, 12}, true, "one");
    apply({1, 25}, true, "two");
    const auto changes = list({1, 20});
    BOOST_REQUIRE(changes.size() == 1U);
    BOOST_TEST((changes.front().kind == EvacuationChange::Kind::Lifted));
    BOOST_TEST(!isEvacuated());
    BOOST_TEST(evacuations.isEvacuated("two"));
}

/// Guards against a starting node, or one that was cut off, bringing a lifted evacuation back.
BOOST_AUTO_TEST_CASE(updates_afterARemoval_containATombstone)
{
    apply({1, 12}, true);
    apply({1, 14}, false);
    Evacuations peer;
    peer.apply(now, {"one", {1, 12}, true}, "store");
    for (const auto &update : evacuations.updates()) {
        peer.apply(now, update, "peer");
    }
    BOOST_TEST(!peer.isEvacuated("one"));
}

BOOST_AUTO_TEST_CASE(apply_emptyOrOverlongName_isIgnored)
{
    BOOST_TEST(!apply({1, 12}, true, "").has_value());
    BOOST_TEST(!apply({1, 13}, true, std::string(MaxDataCentreName + 1, 'x')).has_value());
    BOOST_TEST(apply({1, 14}, true, std::string(MaxDataCentreName, 'x')).has_value());
    BOOST_TEST(evacuations.evacuated() == 1U);
}

/// Guards the memory of a node against a writer that invents names, without losing an evacuation.
BOOST_AUTO_TEST_CASE(apply_manyNames_oldestLiftedOnesAreDropped)
{
    apply({1, 1}, true, "kept");
    for (std::uint64_t n = 0; n < 2 * MaxEvacuationRecords; ++n) {
        apply({1, 10 + 2 * n}, true, "x" + std::to_string(n));
        apply({1, 11 + 2 * n}, false, "x" + std::to_string(n));
    }
    BOOST_TEST(evacuations.updates().size() == MaxEvacuationRecords);
    BOOST_TEST(evacuations.isEvacuated("kept"));
}

// ---- [new era] --------------------------------------------------------------------------------------------------

/// The store returns from a copy without the evacuation, and the operator's write is repeated. Guards against using the data
/// centre in between.
BOOST_AUTO_TEST_CASE(newEra_listingLacksTheEvacuation_itAppliesUntilTheGraceIsOver)
{
    list({1, 10});
    apply({1, 90}, true);
    list({2, 51});
    BOOST_TEST(isEvacuated());
    now += LeaseRenewalGrace - milliseconds(1);
    BOOST_TEST(evacuations.tick(now).empty());
    BOOST_TEST(isEvacuated());
    now += milliseconds(1);
    const auto changes = evacuations.tick(now);
    BOOST_REQUIRE(changes.size() == 1U);
    BOOST_TEST((changes.front().kind == EvacuationChange::Kind::Lifted));
    BOOST_TEST(!isEvacuated());
}

BOOST_AUTO_TEST_CASE(newEra_evacuationIsWrittenAgain_itStays)
{
    apply({1, 90}, true);
    list({2, 51});
    BOOST_TEST((apply({2, 55}, true)->kind == EvacuationChange::Kind::Confirmed));
    now += 2 * LeaseRenewalGrace;
    evacuations.tick(now);
    BOOST_TEST(isEvacuated());
}

/// The copy still has an evacuation that was lifted. Guards against evacuating the data centre again for two seconds.
BOOST_AUTO_TEST_CASE(newEra_copyHasALiftedEvacuation_itDoesNotApplyBeforeTheGraceIsOver)
{
    apply({1, 40}, true);
    apply({1, 90}, false);
    const auto digest = evacuations.digest();
    list({2, 51}, {{"one", {2, 40}, true}});
    BOOST_TEST(!isEvacuated());
    BOOST_TEST(evacuations.digest() != digest); // peers are to learn of it before it applies
    now += LeaseRenewalGrace;
    evacuations.tick(now);
    BOOST_TEST(isEvacuated());
    apply({2, 60}, false);
    BOOST_TEST(!isEvacuated());
}

/// Guards the bound: an evacuation that the operator orders right after a return of the store is no part of the copy. A node
/// that has not listed the new era knows that from the position of a heartbeat.
BOOST_AUTO_TEST_CASE(newEra_evacuationWrittenDuringTheGrace_appliesAtOnce)
{
    list({1, 10});
    evacuations.notePosition(now, {2, 51});
    BOOST_TEST((apply({2, 51}, true, "two")->kind == EvacuationChange::Kind::Pending));
    BOOST_TEST((apply({2, 52}, true)->kind == EvacuationChange::Kind::Evacuated));
}

/// Guards against a node that lifts an evacuation after the grace, because the peer that knows of its confirmation has the same
/// digest.
BOOST_AUTO_TEST_CASE(newEra_removalIsPending_digestDiffersFromAConfirmedEvacuation)
{
    list({1, 10});
    apply({1, 90}, true);
    list({2, 51});
    const auto pending = evacuations.digest();
    apply({2, 55}, true);
    BOOST_TEST(evacuations.digest() != pending);
}

/// A node starts during the grace and learns from a peer what applied before.
BOOST_AUTO_TEST_CASE(newEra_nodeStartsDuringTheGrace_keepsWhatThePeerStillHonours)
{
    list({2, 51});
    apply({1, 90}, true);
    BOOST_TEST(isEvacuated());
    now += LeaseRenewalGrace;
    evacuations.tick(now);
    BOOST_TEST(!isEvacuated());
    BOOST_TEST(!apply({1, 90}, true).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

// ---- [search] ---------------------------------------------------------------------------------------------------

namespace {

constexpr std::size_t Nodes = 4;
constexpr milliseconds Step{100};
constexpr milliseconds Bound{5'000}; ///< from an acknowledged write, or from the store's recovery, to the last use of the data centre
constexpr int MaxRepeatSteps = 12; ///< after a return of the store the operator's write is repeated; 1 s are left to see it within the grace
constexpr const char *EvacuatedDataCentre = "one";

/// The store with one key, and what the operator wants.
struct ModelStore {
    StorePosition position{1, 10};
    bool evacuated = false;
    std::uint64_t keyRevision = 0;
    bool up = true;

    void write(bool value)
    {
        evacuated = value;
        keyRevision = ++position.revision;
    }
};

struct ModelNode {
    Evacuations evacuations;
    StorePosition listedAt; ///< of the watch; {}: it lists next
    bool hasHonoured = false; ///< since the operator's last put
};

/// Nodes of which one watches the store; heartbeats go from every node to the next in each step, unless the link is cut.
struct Model {
    std::mt19937_64 random;
    TimePoint now = Start;
    ModelStore store;
    std::optional<ModelStore> copy;
    std::vector<ModelNode> nodes = std::vector<ModelNode>(Nodes);
    bool wanted = false; ///< by the operator, as acknowledged
    TimePoint wantedSince = Start;
    StorePosition wantedAt; ///< of that write
    TimePoint unstableAt = TimePoint::min(); ///< the store was last down or returned in a new era
    std::optional<TimePoint> repeatAt; ///< the operator's last write is repeated
    std::size_t watcher = 0;

    explicit Model(std::uint64_t seed)
        : random(seed)
    {
    }

    bool chance(unsigned percent)
    {
        return std::uniform_int_distribution<unsigned>(0, 99)(random) < percent;
    }

    std::size_t anyNode()
    {
        return std::uniform_int_distribution<std::size_t>(0, Nodes - 1)(random);
    }

    void operate(bool evacuate)
    {
        if (!store.up) {
            return; // not acknowledged
        }
        store.write(evacuate);
        if (evacuate != wanted) {
            wantedSince = now;
            wantedAt = store.position;
            for (auto &node : nodes) {
                node.hasHonoured = false;
            }
        }
        wanted = evacuate;
        repeatAt.reset();
    }

    void returnFromCopy()
    {
        if (!copy) {
            return;
        }
        const auto era = store.position.era + 1;
        const bool up = store.up;
        store = *copy;
        store.up = up;
        store.position.era = era;
        unstableAt = now;
        repeatAt = now + Step * std::uniform_int_distribution<int>(0, MaxRepeatSteps)(random);
    }

    void disturb()
    {
        switch (std::uniform_int_distribution<int>(0, 7)(random)) {
        case 0:
        case 1:
            operate(true);
            break;
        case 2:
            operate(false);
            break;
        case 3:
            copy = store;
            break;
        case 4:
            returnFromCopy();
            break;
        case 5:
            store.up = repeatAt ? store.up : !store.up; // an outage before the write is repeated outlasts the grace
            break;
        case 6:
            nodes[anyNode()] = ModelNode{};
            break;
        case 7:
            watcher = anyNode();
            nodes[watcher].listedAt = {};
            break;
        }
    }

    void watch(ModelNode &node)
    {
        if (!store.up) {
            return;
        }
        const bool mustList = node.listedAt.era != store.position.era || node.listedAt.revision > store.position.revision;
        if (mustList) {
            std::vector<EvacuationUpdate> items;
            if (store.evacuated) {
                items.push_back({EvacuatedDataCentre, {store.position.era, store.keyRevision}, true});
            }
            node.evacuations.applyListing(now, items, store.position, "store");
        } else if (store.keyRevision > node.listedAt.revision) {
            node.evacuations.apply(now, {EvacuatedDataCentre, {store.position.era, store.keyRevision}, store.evacuated}, "store");
        }
        node.listedAt = store.position;
        node.evacuations.notePosition(now, store.position);
    }

    void tell(const ModelNode &from, ModelNode &to)
    {
        if (!from.evacuations.isKnown() || from.evacuations.digest() == to.evacuations.digest()) {
            return;
        }
        for (const auto &update : from.evacuations.updates()) {
            to.evacuations.apply(now, update, "peer");
        }
        to.evacuations.setKnown();
    }

    void step()
    {
        now += Step;
        if (!store.up) {
            unstableAt = now;
        }
        if (repeatAt && store.up && now >= *repeatAt) {
            store.write(wanted);
            repeatAt.reset();
        }
        if (chance(50)) {
            watch(nodes[watcher]);
        }
        for (std::size_t n = 0; n < Nodes; ++n) {
            if (chance(50)) {
                tell(nodes[n], nodes[(n + 1) % Nodes]);
                tell(nodes[(n + 1) % Nodes], nodes[n]);
            }
            nodes[n].evacuations.tick(now);
        }
        for (auto &node : nodes) {
            const auto updates = node.evacuations.updates();
            const bool knowsWrite = std::any_of(updates.begin(), updates.end(), [&](const auto &each) { return each.evacuated && each.position >= wantedAt; });
            node.hasHonoured = node.hasHonoured || (wanted && knowsWrite && node.evacuations.isEvacuated(EvacuatedDataCentre));
        }
    }

    /// Whether a node that knows of evacuations uses the data centre although the time to stop has passed.
    bool isBoundBroken() const
    {
        const bool isLate = wanted && now > std::max(wantedSince, unstableAt) + Bound;
        return isLate && std::any_of(nodes.begin(), nodes.end(), [](const auto &node) {
                   return node.evacuations.isKnown() && !node.evacuations.isEvacuated(EvacuatedDataCentre);
               });
    }

    /// Whether a node uses the data centre again although the operator has not lifted the evacuation that it honoured.
    bool isUndone() const
    {
        return wanted
            && std::any_of(nodes.begin(), nodes.end(), [](const auto &node) { return node.hasHonoured && !node.evacuations.isEvacuated(EvacuatedDataCentre); });
    }

    bool hasConverged() const
    {
        return std::all_of(nodes.begin(), nodes.end(), [&](const auto &node) {
            return node.evacuations.isKnown() && node.evacuations.isEvacuated(EvacuatedDataCentre) == wanted
                && node.evacuations.digest() == nodes[0].evacuations.digest();
        });
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(EvacuationSearchTest)

/// Guards against an order of put, delete, put again, node starts, changes of the watcher, losses of the store and new eras in
/// which a node goes on using an evacuated data centre, or in which the nodes do not agree in the end.
BOOST_AUTO_TEST_CASE(manyOrders_ofWritesStartsLossesAndEras_boundHoldsAndAllAgree)
{
    constexpr std::uint64_t Seeds = 2'000;
    constexpr unsigned Disturbances = 10;
    constexpr unsigned MaxStepsBetween = 80;
    constexpr unsigned StepsToSettle = 100;
    unsigned evacuatedAtEnd = 0;
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        Model model(seed);
        std::size_t broken = 0;
        std::size_t undone = 0;
        const auto run = [&](unsigned steps) {
            for (unsigned n = 0; n < steps; ++n) {
                model.step();
                broken += model.isBoundBroken() ? 1 : 0;
                undone += model.isUndone() ? 1 : 0;
            }
        };
        for (unsigned n = 0; n < Disturbances; ++n) {
            model.disturb();
            run(std::uniform_int_distribution<unsigned>(0, MaxStepsBetween)(model.random));
        }
        model.store.up = true;
        run(StepsToSettle);
        evacuatedAtEnd += model.wanted ? 1 : 0;
        BOOST_REQUIRE_MESSAGE(broken == 0, "seed " << seed << ": used beyond the bound in " << broken << " steps");
        BOOST_REQUIRE_MESSAGE(undone == 0, "seed " << seed << ": used again while evacuated in " << undone << " steps");
        BOOST_REQUIRE_MESSAGE(model.hasConverged(), "seed " << seed << ": the nodes differ, wanted " << model.wanted);
    }
    BOOST_TEST_MESSAGE("seeds " << Seeds << ", evacuated at the end " << evacuatedAtEnd);
    BOOST_TEST(evacuatedAtEnd > Seeds / 10);
    BOOST_TEST(evacuatedAtEnd < Seeds - Seeds / 10);
}

BOOST_AUTO_TEST_SUITE_END()
