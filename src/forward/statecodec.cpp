// Sections: [requests] [configuration] [targets]
#include "forward/statecodec.h"

#include "forward/frames.h"

#include <zlib.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <set>

namespace Fescuenotch {

namespace {

constexpr std::size_t MaxConfigurationBytes = 64 * 1024 * 1024; ///< bytes before compression; a frame that states more is rejected before memory is allocated
constexpr std::size_t InitialBuilderBytes = 64 * 1024;
constexpr int FastCompression = 1; ///< zlib level; the fastest, since a host has a tenth of a CPU core
constexpr double Permille = 1'000; ///< of the wire's request rates
constexpr flatbuffers::uoffset_t MaxTables = 1'000'000;
constexpr flatbuffers::uoffset_t MaxDepth = 8;

using Builder = flatbuffers::FlatBufferBuilder;

} // namespace

// ---- [requests] -------------------------------------------------------------------------------------------------

std::string encodeStateRequest(const StateVersions &versions)
{
    Builder fbb;
    return finishFrame(
        fbb, MeshWire::CreateStateRequest(fbb, versions.configuration, versions.storePosition.revision, versions.wantsAllTargets, versions.storePosition.era));
}

StateVersions decodeStateRequest(const MeshWire::StateRequest &request)
{
    return {request.configuration(), {request.store_era(), request.store_revision()}, request.whole()};
}

// ---- [configuration] --------------------------------------------------------------------------------------------

namespace {

flatbuffers::Offset<MeshWire::RouteRecord> encodeRoute(Builder &fbb, const MeshRoute &route)
{
    const auto name = fbb.CreateString(route.name);
    const auto host = fbb.CreateSharedString(route.host);
    const auto prefix = fbb.CreateString(route.pathPrefix);
    std::vector<flatbuffers::Offset<MeshWire::RoutePart>> parts;
    for (const auto &part : route.parts) {
        parts.push_back(MeshWire::CreateRoutePart(fbb, fbb.CreateSharedString(part.service), part.weight));
    }
    const auto partList = fbb.CreateVector(parts);
    return MeshWire::CreateRouteRecord(fbb,
                                       name,
                                       host,
                                       prefix,
                                       static_cast<std::uint8_t>(route.kind),
                                       static_cast<std::uint32_t>(route.timeout.count()),
                                       static_cast<std::uint32_t>(route.latencyGoal.count()),
                                       route.priority,
                                       route.maxAttempts,
                                       partList);
}

MeshRoute decodeRoute(const MeshWire::RouteRecord &record)
{
    MeshRoute route;
    route.name = record.name()->str();
    route.host = record.host()->str();
    route.pathPrefix = record.path_prefix()->str();
    route.kind = record.kind() <= static_cast<std::uint8_t>(RouteKind::Download) ? static_cast<RouteKind>(record.kind()) : RouteKind::NotIdempotent;
    route.timeout = milliseconds(record.timeout_ms());
    route.latencyGoal = milliseconds(record.goal_ms());
    route.priority = record.priority();
    route.maxAttempts = record.max_attempts();
    if (record.parts() != nullptr) {
        for (const auto *part : *record.parts()) {
            route.parts.push_back({part->service()->str(), part->weight()});
        }
    }
    return route;
}

std::map<std::string, const MeshRoute *> routesByName(const MeshConfiguration &configuration)
{
    std::map<std::string, const MeshRoute *> routes;
    for (const auto &route : configuration.routes) {
        routes.emplace(route.name, &route);
    }
    return routes;
}

Result<std::string> decompress(std::string_view compressed, std::size_t size)
{
    if (size > MaxConfigurationBytes) {
        return badFrame("configuration of " + std::to_string(size) + " bytes exceeds the size limit");
    }
    std::string bytes(size, '\0');
    uLongf written = size;
    const auto code = ::uncompress(reinterpret_cast<Bytef *>(bytes.data()), &written, reinterpret_cast<const Bytef *>(compressed.data()), compressed.size());
    if (code != Z_OK || written != size) {
        return badFrame("configuration cannot be decompressed");
    }
    return bytes;
}

} // namespace

std::string serializeConfiguration(const MeshConfiguration &configuration, const MeshConfiguration *base)
{
    Builder fbb(InitialBuilderBytes);
    const auto before = base == nullptr ? std::map<std::string, const MeshRoute *>() : routesByName(*base);
    std::vector<flatbuffers::Offset<MeshWire::RouteRecord>> routes;
    std::set<std::string> names;
    for (const auto &route : configuration.routes) {
        names.insert(route.name);
        const auto it = before.find(route.name);
        if (it == before.end() || *it->second != route) {
            routes.push_back(encodeRoute(fbb, route));
        }
    }
    std::vector<std::string> removed;
    for (const auto &[name, route] : before) {
        if (!names.contains(name)) {
            removed.push_back(name);
        }
    }
    std::vector<flatbuffers::Offset<MeshWire::ServiceRecord>> services;
    for (const auto &service : configuration.services) {
        const auto name = fbb.CreateString(service.name);
        const auto path = fbb.CreateString(service.healthPath);
        services.push_back(MeshWire::CreateServiceRecord(fbb,
                                                         name,
                                                         path,
                                                         service.maxConnections,
                                                         static_cast<std::uint32_t>(service.coldStart.count()),
                                                         static_cast<std::uint32_t>(std::lround(service.coldRequestRate * Permille))));
    }
    const auto routeList = fbb.CreateVector(routes);
    const auto removedList = fbb.CreateVectorOfStrings(removed);
    const auto serviceList = fbb.CreateVector(services);
    const auto &b = configuration.callerLimits;
    const auto limits = MeshWire::CreateBoundsRecord(
        fbb, b.maxHeadBytes, b.maxBodyBytes, static_cast<std::uint32_t>(b.headTimeout.count()), static_cast<std::uint32_t>(b.idleTimeout.count()));
    const auto baseVersion = base == nullptr ? 0 : base->version;
    fbb.Finish(MeshWire::CreateConfigurationRecord(fbb, configuration.version, baseVersion, routeList, removedList, serviceList, limits));
    return {reinterpret_cast<const char *>(fbb.GetBufferPointer()), fbb.GetSize()};
}

Result<MeshConfiguration> deserializeConfiguration(std::string_view compressed, std::size_t size, const MeshConfiguration *base)
{
    BOOST_LEAF_AUTO(bytes, decompress(compressed, size));
    flatbuffers::Verifier verifier(reinterpret_cast<const std::uint8_t *>(bytes.data()), bytes.size(), MaxDepth, MaxTables);
    if (!verifier.VerifyBuffer<MeshWire::ConfigurationRecord>(nullptr)) {
        return badFrame("configuration failed FlatBuffers verification");
    }
    const auto *record = flatbuffers::GetRoot<MeshWire::ConfigurationRecord>(bytes.data());
    const bool isDifference = record->base() != 0;
    if (isDifference && (base == nullptr || base->version != record->base())) {
        return badFrame("difference is based on configuration " + std::to_string(record->base()) + ", which is not in force on this node");
    }
    MeshConfiguration configuration;
    configuration.version = record->version();
    std::map<std::string, MeshRoute> changed;
    std::set<std::string> removed;
    if (record->routes() != nullptr) {
        for (const auto *each : *record->routes()) {
            auto route = decodeRoute(*each);
            changed.emplace(route.name, std::move(route));
        }
    }
    if (record->removed_routes() != nullptr) {
        for (const auto *name : *record->removed_routes()) {
            removed.insert(name->str());
        }
    }
    if (isDifference) {
        for (const auto &route : base->routes) {
            if (!changed.contains(route.name) && !removed.contains(route.name)) {
                configuration.routes.push_back(route);
            }
        }
    }
    for (auto &[name, route] : changed) {
        configuration.routes.push_back(std::move(route));
    }
    if (record->services() != nullptr) {
        for (const auto *service : *record->services()) {
            configuration.services.push_back({service->name()->str(),
                                              stringOrEmpty(service->health_path()),
                                              service->max_connections(),
                                              milliseconds(service->cold_start_ms()),
                                              service->cold_rate_milli() / Permille});
        }
    }
    if (const auto *limits = record->bounds()) {
        configuration.callerLimits
            = {limits->max_head_bytes(), limits->max_body_bytes(), milliseconds(limits->head_limit_ms()), milliseconds(limits->idle_limit_ms())};
    }
    return configuration;
}

CompressedConfiguration compress(const std::string &bytes)
{
    auto size = ::compressBound(bytes.size());
    CompressedConfiguration compressed{std::string(size, '\0'), bytes.size()};
    ::compress2(reinterpret_cast<Bytef *>(compressed.bytes.data()), &size, reinterpret_cast<const Bytef *>(bytes.data()), bytes.size(), FastCompression);
    compressed.bytes.resize(size);
    return compressed;
}

// ---- [targets] --------------------------------------------------------------------------------------------------

std::string encodeStateNews(const CompressedConfiguration *configuration,
                            const std::vector<TargetUpdate> &targets,
                            bool allTargets,
                            StorePosition storePosition,
                            const std::vector<EvacuationUpdate> *evacuations)
{
    Builder fbb(InitialBuilderBytes);
    std::vector<flatbuffers::Offset<MeshWire::TargetNewsRecord>> records;
    for (const auto &update : targets) {
        const auto id = fbb.CreateString(update.id);
        const auto statedInEra = update.statedInEra.value_or(0);
        if (!update.record) {
            MeshWire::TargetNewsRecordBuilder record(fbb);
            record.add_id(id);
            record.add_revision(update.position.revision);
            record.add_started_at_ms(update.outdatedBefore.startedAtMs);
            record.add_sequence(update.outdatedBefore.sequence);
            record.add_era(update.position.era);
            record.add_stated_in_era(statedInEra);
            records.push_back(record.Finish());
            continue;
        }
        const auto &r = *update.record;
        const auto service = fbb.CreateSharedString(r.service);
        const auto host = fbb.CreateString(r.address.host);
        const auto dataCentre = fbb.CreateSharedString(r.dataCentre);
        records.push_back(MeshWire::CreateTargetNewsRecord(fbb,
                                                           id,
                                                           update.position.revision,
                                                           true,
                                                           service,
                                                           host,
                                                           r.address.port,
                                                           dataCentre,
                                                           r.slots,
                                                           r.state == TargetState::Draining,
                                                           static_cast<std::uint32_t>(r.coldRemaining.count()),
                                                           r.startedAtMs,
                                                           r.sequence,
                                                           update.position.era,
                                                           statedInEra,
                                                           static_cast<std::uint32_t>(update.removeIn.count())));
    }
    const auto list = fbb.CreateVector(records);
    flatbuffers::Offset<flatbuffers::Vector<std::uint8_t>> bytes;
    if (configuration != nullptr) {
        bytes = fbb.CreateVector(reinterpret_cast<const std::uint8_t *>(configuration->bytes.data()), configuration->bytes.size());
    }
    const auto size = configuration == nullptr ? 0 : static_cast<std::uint32_t>(configuration->size);
    flatbuffers::Offset<flatbuffers::Vector<flatbuffers::Offset<MeshWire::EvacuationRecord>>> evacuationList;
    if (evacuations != nullptr) {
        std::vector<flatbuffers::Offset<MeshWire::EvacuationRecord>> evacuationRecords;
        for (const auto &each : *evacuations) {
            const auto name = fbb.CreateString(each.dataCentre);
            evacuationRecords.push_back(MeshWire::CreateEvacuationRecord(fbb, name, each.position.era, each.position.revision, each.evacuated));
        }
        evacuationList = fbb.CreateVector(evacuationRecords);
    }
    return finishFrame(
        fbb, MeshWire::CreateStateNews(fbb, bytes, size, list, storePosition.revision, allTargets, storePosition.era, evacuationList, evacuations != nullptr));
}

std::optional<std::vector<EvacuationUpdate>> decodeEvacuations(const MeshWire::StateNews &news)
{
    if (!news.has_evacuations()) {
        return std::nullopt;
    }
    std::vector<EvacuationUpdate> updates;
    if (news.evacuations() != nullptr) {
        for (const auto *record : *news.evacuations()) {
            updates.push_back({record->data_centre()->str(), {record->era(), record->revision()}, record->evacuated()});
        }
    }
    return updates;
}

std::vector<TargetUpdate> decodeTargetUpdates(const MeshWire::StateNews &news)
{
    std::vector<TargetUpdate> out;
    if (news.targets() == nullptr) {
        return out;
    }
    for (const auto *record : *news.targets()) {
        TargetUpdate each;
        each.id = record->id()->str();
        each.position = {record->era(), record->revision()};
        each.removeIn = milliseconds(record->remove_in_ms());
        if (record->stated_in_era() != 0) {
            each.statedInEra = record->stated_in_era();
        }
        if (record->listed()) {
            TargetRecord r;
            r.id = each.id;
            r.service = stringOrEmpty(record->service());
            r.address = {stringOrEmpty(record->host()), record->port()};
            r.dataCentre = stringOrEmpty(record->data_centre());
            r.slots = std::max(1U, record->slots());
            r.state = record->draining() ? TargetState::Draining : TargetState::Ready;
            r.coldRemaining = milliseconds(record->cold_ms());
            r.startedAtMs = record->started_at_ms();
            r.sequence = record->sequence();
            each.record = std::move(r);
        } else {
            each.outdatedBefore = {record->started_at_ms(), record->sequence()};
        }
        out.push_back(std::move(each));
    }
    return out;
}

} // namespace Fescuenotch
