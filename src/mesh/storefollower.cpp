#include "mesh/storefollower.h"

#include <algorithm>
#include <array>

namespace Fescuenotch {

const char *storeQuestionName(StoreQuestion::Kind kind)
{
    constexpr std::array<const char *, 3> Names{"configuration", "targets", "watch"};
    return Names.at(static_cast<std::size_t>(kind));
}

const char *storeFailureName(StoreFailure failure)
{
    constexpr std::array<const char *, 5> Names{"unreachable", "unavailable", "limited", "history-gone", "bad-answer"};
    return Names.at(static_cast<std::size_t>(failure));
}

StoreFollower::StoreFollower(const StoreFollowerSettings &settings)
    : m_settings(settings)
    , m_random(static_cast<std::minstd_rand::result_type>(settings.seed | 1))
{
    startOver();
}

void StoreFollower::startOver()
{
    m_question = {StoreQuestion::Kind::Targets, "", 0, milliseconds(0)};
    m_listing.clear();
    m_watchFrom = 0;
}

std::optional<StoreQuestion> StoreFollower::next(TimePoint now) const
{
    return now < m_nextAt ? std::nullopt : std::optional(m_question);
}

StoreUpdate StoreFollower::onReply(TimePoint now, const StoreQuestion &question, StoreReply reply)
{
    StoreUpdate update;
    update.revision = reply.revision;
    if (m_awaySince) {
        if (now - *m_awaySince >= m_settings.entriesLapseAfter) {
            m_heldUntil = now + m_settings.heldAfterReturn;
        }
        m_awaySince.reset();
        update.returned = true;
    }
    m_retry = milliseconds(0);
    m_lastReply = now;
    m_nextAt = now;
    switch (question.kind) {
    case StoreQuestion::Kind::Targets:
        if (question.afterKey.empty()) {
            m_listing.clear();
            m_watchFrom = reply.revision;
        }
        std::move(reply.items.begin(), reply.items.end(), std::back_inserter(m_listing));
        if (reply.more) {
            m_question = {StoreQuestion::Kind::Targets, reply.lastKey, 0, milliseconds(0)};
            break;
        }
        update.listingEnds = true;
        update.listing.swap(m_listing);
        update.revision = m_watchFrom;
        m_nextAt = m_listedOnce ? now : now + m_settings.peersFirst;
        m_listedOnce = true;
        m_question = {StoreQuestion::Kind::Configuration, "", 0, milliseconds(0)};
        break;
    case StoreQuestion::Kind::Configuration:
        // Read after the listing: whatever is written from here on, the watch brings it.
        update.items = std::move(reply.items);
        m_question = {StoreQuestion::Kind::Watch, "", m_watchFrom, m_settings.watchWait};
        break;
    case StoreQuestion::Kind::Watch:
        m_nextAt = reply.items.empty() ? now : now + m_settings.pauseAfterNews;
        update.items = std::move(reply.items);
        m_watchFrom = std::max(m_watchFrom, reply.revision);
        m_question = {StoreQuestion::Kind::Watch, "", m_watchFrom, m_settings.watchWait};
        break;
    }
    return update;
}

void StoreFollower::onFailure(TimePoint now, const StoreQuestion &question, StoreFailure failure, milliseconds retryAfter)
{
    if (failure == StoreFailure::HistoryGone) {
        startOver();
        m_nextAt = now;
        return;
    }
    // A waiting watch may be cut at any time; asking again at once costs one call and tells whether the store is there.
    const bool askAtOnce = question.kind == StoreQuestion::Kind::Watch && failure == StoreFailure::Unreachable && m_retry == milliseconds(0);
    if (!askAtOnce && failure != StoreFailure::Limited && !m_awaySince) {
        m_awaySince = m_lastReply.value_or(now);
    }
    m_retry = std::clamp(m_retry * 2, m_settings.firstRetry, m_settings.longestRetry);
    m_nextAt = askAtOnce ? now : now + std::max(jitter(m_retry), retryAfter);
}

Duration StoreFollower::age(TimePoint now) const
{
    return m_lastReply ? now - *m_lastReply : Duration::max();
}

milliseconds StoreFollower::jitter(milliseconds delay)
{
    std::uniform_int_distribution<milliseconds::rep> spread(delay.count() / 2, delay.count());
    return milliseconds(spread(m_random));
}

} // namespace Fescuenotch
