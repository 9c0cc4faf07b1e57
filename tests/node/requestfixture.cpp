#include "requestfixture.h"

#include <array>

namespace Fescuenotch::Testing {

ExitNodeFixture::ExitNodeFixture(const std::string &host, MetricsRegistry &metrics, TimerService &timers)
{
    settings.host = host;
    handler = makeExitHandler({&settings, &metrics, &timers, &target});
}

RequestFixture::RequestFixture()
{
    settings.host = "127.23.0.1";
    settings.dataCentre = "lk-south-1";
    snapshot.profileName = "desk";
    snapshot.version = {1, 42};
    snapshot.profile.rules["read"] = {true, milliseconds(1'000), 3, RequestClass::Lookup};
    snapshot.profile.rules["confirm"] = {false, milliseconds(1'000), 2, RequestClass::Write};
    snapshot.profile.routes = {{"/slots", {"GET"}, "bookdesk", "read"}, {"/confirm", {"POST"}, "bookdesk", "confirm"}};
    snapshot.services["bookdesk"].profile = "desk";
    const auto peerOf = [](const std::string &host) { return std::optional(Endpoint{host, 7400}); };
    entry = makeEntryHandler({&settings, metrics.get(), &inForce, &transport, 1, [this] { return trusted; }, peerOf});
}

RequestFixture::~RequestFixture()
{
    exits.clear();
    timers->stop();
}

ExitNodeFixture &RequestFixture::addTarget(const std::string &host, unsigned slots)
{
    auto &exitNode = *(exits[host] = std::make_unique<ExitNodeFixture>(host, *metrics, *timers));
    exitNode.entry = {host, settings.dataCentre, {host, 9000}, slots, slots};
    exitNode.handler->configure(exitNode.entry);
    transport.exits[host] = [&exitNode](std::shared_ptr<InMemoryStream> stream) { exitNode.handler->onAttempt(std::move(stream)); };
    snapshot.services["bookdesk"].targets.push_back(exitNode.entry);
    publish();
    return exitNode;
}

void RequestFixture::publish()
{
    inForce.swap(std::make_shared<const Snapshot>(snapshot));
}

CallerResponse RequestFixture::call(const std::string &method, const std::string &path, const std::string &body, Headers headers)
{
    CallerRequest request;
    request.method = method;
    request.path = path;
    request.headers = std::move(headers);
    request.hasBody = !body.empty();
    request.bodyLength = body.size();
    request.arrived = Clock::now();
    const auto session = entry->begin(request);
    constexpr std::size_t ChunkBytes = 32 * 1024;
    for (std::size_t at = 0; at < body.size(); at += ChunkBytes) {
        if (!session->onBody(Bytes(body).subspan(at, std::min(ChunkBytes, body.size() - at)))) {
            break;
        }
    }
    return session->respond(callerLeft);
}

std::string RequestFixture::readAll(CallerResponse &response, bool &broken) const
{
    broken = false;
    std::string text = response.text;
    std::array<char, 8192> buf{};
    while (response.body) {
        const auto size = response.body->read(buf);
        broken = size < 0;
        if (size <= 0) {
            break;
        }
        text.append(buf.data(), static_cast<std::size_t>(size));
    }
    return text;
}

std::uint64_t RequestFixture::count(const std::string &name, const Labels &labels) const
{
    return metrics->counter(name, "", labels).value();
}

std::string headerOf(const CallerResponse &response, const std::string &name)
{
    const auto *value = findHeader(response.headers, name);
    return value == nullptr ? std::string() : *value;
}

} // namespace Fescuenotch::Testing
