// When a node asks a peer for what it lacks of the platform's state, and which peers it asks.
//
// Patterns answered: a node that starts and to which every other node links at once; a change that all peers tell within
// the same pulse. A whole state is some 50 KB, so a node on a link of 6 Mbit/s that asked each of 75 peers would be cut
// off for five seconds by the answers, and each peer would pay for one of them. One question is open at a time.
//
// A node that knows nothing yet serves nobody, so it asks anyone, and anew as soon as an answer was empty.
//
// Otherwise peers of the own data centre are asked first, since traffic between data centres costs. Peers elsewhere are
// asked once the news are `otherDataCentreAfter` old and nobody near has brought them.
//
// How to use: `mayAsk` when a peer may have news, then `onAsked`; `onAnswered` for each answer, also for an empty one;
// `onNothingLacking` when news came another way; `onPeerGone` when the peer that was asked is lost.
// Pitfall: a peer that answers slowly is not asked again, another one is. Its answer is still welcome when it comes.
#pragma once

#include "kernel/clock.h"

#include <string>

namespace Fescuenotch {

struct NewsQuestionsSettings {
    milliseconds answerLimit{500}; ///< ms; a whole state needs 70 ms on a link of 6 Mbit/s, and its peer sends other answers too
    milliseconds longestAnswerLimit{4'000}; ///< ms; doubled up to this with each question that got no answer in time
    milliseconds leastPeriod{250}; ///< ms; between questions, so that views that differ for a moment are not asked for over and over
    milliseconds urgentPeriod{20}; ///< ms; the same for a node that knows nothing yet
    milliseconds otherDataCentreAfter{300}; ///< ms; the store and one hop within the data centre need less
};

/// A peer that may have news.
struct NewsOffer {
    bool isNear = true; ///< it is in the own data centre
    bool isUrgent = false; ///< the own node knows nothing yet
};

class NewsQuestions
{
public:
    explicit NewsQuestions(const NewsQuestionsSettings &settings = {});
    /// Also notes that something is lacking since now, if nothing was before.
    bool mayAsk(TimePoint now, const NewsOffer &offer);
    void onAsked(TimePoint now, const std::string &host);
    void onAnswered();
    void onPeerGone(const std::string &host);
    void onNothingLacking();

private:
    NewsQuestionsSettings m_settings;
    milliseconds m_limit; ///< ms; for the question that is open
    std::string m_askedHost; ///< empty: no question is open
    TimePoint m_askedAt = TimePoint::min(); ///< of the last question
    TimePoint m_lackingSince = TimePoint::max(); ///< max: nothing is known to be lacking
};

} // namespace Fescuenotch
