#include <algorithm>
#include <set>

#include "Dispatch/Ownership/OwnershipParts.h"

/// Heartbeats between gateways: liveness, table versions and unlogged declarations.
namespace Dispatch {

namespace {

/// Two tables with the same version can differ while a direct handover is not in the log yet. Until
/// then the whole table is sent with one in this many heartbeats.
constexpr std::int64_t TableIntervalHeartbeats = 8;
/// Four seconds of heartbeats at the default interval. An answer to an older heartbeat comes too
/// late to confirm ownership.
constexpr std::size_t MaxTrackedPings = 8;

bool hasUnrecordedHandover(const OwnershipState &state)
{
    for (std::size_t shard = 0; shard < state.table.shards.size(); ++shard) {
        const std::int64_t epoch = state.table.shards[shard].epoch;
        if (epoch % EpochStep != 0 && state.fromLog.shards[shard].epoch != epoch) {
            return true;
        }
    }
    return false;
}

std::vector<Schema::UnloggedNotice> noticeList(const OwnershipState &state)
{
    std::vector<Schema::UnloggedNotice> notices;
    for (const auto &[instance, sinceMs] : state.notices) {
        Schema::UnloggedNotice notice;
        notice.instance = instance;
        notice.sinceMs = sinceMs;
        notices.push_back(std::move(notice));
    }
    return notices;
}

Effect makePing(OwnershipState &state, const std::string &instance, PeerView &peer, bool reply,
                Common::Moment now)
{
    Schema::PeerPing ping;
    ping.instance = state.self.instance;
    ping.sequence = ++state.sequence;
    ping.heardSequence = peer.sequence;
    peer.sent.push_back({ping.sequence, now.steadyMs});
    if (peer.sent.size() > MaxTrackedPings) {
        peer.sent.pop_front();
    }
    ping.reply = reply;
    ping.leaving = state.leaving;
    ping.live = liveMembers(state, now);
    ping.journalOffset = state.journalOffset;
    ping.tableVersion = tableVersion(state.table);
    ping.configVersion = state.configVersion;
    ping.unloggedSinceMs = state.unloggedSinceMs;
    ping.acknowledgedUnlogged = noticeList(state);
    const bool repeat =
            ping.sequence % TableIntervalHeartbeats == 0 && hasUnrecordedHandover(state);
    if (peer.reportedVersion < ping.tableVersion || repeat) {
        ping.table = exportTable(state.table);
    }
    peer.sentVersion = ping.tableVersion;
    peer.sentNoticeRevision = state.noticeRevision;
    peer.lastPingMs = now.steadyMs;
    Schema::Frame frame = frameOf(Schema::FrameType::PeerPing);
    frame.peerPing = std::move(ping);
    return SendToGateway{instance, std::move(frame)};
}

bool sentLatestState(const OwnershipState &state, const PeerView &peer)
{
    return peer.sentVersion == tableVersion(state.table)
           && peer.sentNoticeRevision == state.noticeRevision;
}

void setNotice(OwnershipState &state, const std::string &instance, std::int64_t sinceMs)
{
    std::int64_t &known = state.notices[instance];
    if (known != sinceMs) {
        known = sinceMs;
        ++state.noticeRevision;
    }
}

/// Merges a declaration that another gateway relays. This can only add a declaration or move its
/// beginning back. Only the declaring gateway withdraws a declaration, because only that gateway
/// knows whether everything it started is in the log.
void mergeRelayedNotice(OwnershipState &state, const Schema::UnloggedNotice &notice)
{
    if (notice.instance == state.self.instance) {
        return;
    }
    const auto known = state.notices.find(notice.instance);
    if (known == state.notices.end() || notice.sinceMs < known->second) {
        setNotice(state, notice.instance, notice.sinceMs);
    }
}

/// Records when the answered heartbeat was sent. The time at which the answer is read is
/// irrelevant, because the answer may have waited in a socket.
void recordAnswer(PeerView &peer, std::int64_t heardSequence)
{
    while (!peer.sent.empty() && peer.sent.front().sequence <= heardSequence) {
        peer.answeredMs = peer.sent.front().sentMs;
        peer.sent.pop_front();
    }
}

void updateNotices(OwnershipState &state, PeerView &peer, const Schema::PeerPing &ping)
{
    peer.notices.clear();
    for (const Schema::UnloggedNotice &notice : ping.acknowledgedUnlogged) {
        peer.notices[notice.instance] = notice.sinceMs;
        mergeRelayedNotice(state, notice);
    }
    if (ping.unloggedSinceMs != 0) {
        peer.notices[ping.instance] = ping.unloggedSinceMs;
        setNotice(state, ping.instance, ping.unloggedSinceMs);
    } else if (state.notices.erase(ping.instance) != 0) {
        ++state.noticeRevision;
    }
}

/// An acknowledgement from a peer with a newer table doesn't count until our table has caught up:
/// our claim or our ownership may be superseded, and the roster may have changed.
void updateAcknowledgements(const OwnershipState &state, PeerView &peer,
                            const Schema::PeerPing &ping)
{
    peer.reportedVersion = ping.tableVersion;
    if (ping.tableVersion > tableVersion(state.table)) {
        return;
    }
    peer.acknowledgedVersion = std::max(peer.acknowledgedVersion, ping.tableVersion);
    const auto ours = peer.notices.find(state.self.instance);
    peer.acknowledgedUnloggedMs = ours == peer.notices.end() ? 0 : ours->second;
}

void trackRosterMembers(OwnershipState &state, Common::Moment now)
{
    for (const Schema::Member &member : state.table.roster) {
        if (member.instance != state.self.instance && state.peers.count(member.instance) == 0) {
            PeerView &peer = state.peers[member.instance];
            peer.firstTrackedMs = now.steadyMs;
            peer.lastPingMs = now.steadyMs - state.settings.heartbeatMs;
        }
    }
}

void sampleJournalOffset(OwnershipState &state, Common::Moment now)
{
    if (now.steadyMs - state.journalSampledMs < 2 * state.settings.heartbeatMs) {
        return;
    }
    state.journalSampledMs = now.steadyMs;
    state.requiredJournalOffset = state.nextRequiredJournalOffset;
    state.nextRequiredJournalOffset = state.journalOffset;
}

void removeUnneededPeers(OwnershipState &state, Common::Moment now)
{
    const std::vector<std::string> previous = previousInstances(state.table);
    for (auto peer = state.peers.begin(); peer != state.peers.end();) {
        const std::int64_t lastActivityMs =
                std::max(peer->second.lastReceivedMs, peer->second.firstTrackedMs);
        const bool needed = onRoster(state.table, peer->first)
                            || std::count(previous.begin(), previous.end(), peer->first) != 0;
        const bool gone = !needed && now.steadyMs - lastActivityMs >= state.settings.peerSilenceMs;
        peer = gone ? state.peers.erase(peer) : std::next(peer);
    }
}

} // namespace

Effects sendHeartbeats(OwnershipState &state, Common::Moment now)
{
    trackRosterMembers(state, now);
    sampleJournalOffset(state, now);
    removeUnneededPeers(state, now);
    Effects effects;
    for (auto &[instance, peer] : state.peers) {
        const bool due = now.steadyMs - peer.lastPingMs >= state.settings.heartbeatMs;
        if (due || (peer.pingReceived && !sentLatestState(state, peer))) {
            effects.push_back(makePing(state, instance, peer, false, now));
        }
    }
    return effects;
}

Effects handlePeerPing(OwnershipState &state, const Schema::PeerPing &ping, Common::Moment now)
{
    if (ping.instance == state.self.instance) {
        return {};
    }
    PeerView &peer = state.peers[ping.instance];
    if (peer.pingReceived && ping.sequence <= peer.sequence) {
        return {};
    }
    if (!peer.pingReceived && peer.firstTrackedMs == 0) {
        peer.firstTrackedMs = now.steadyMs;
    }
    peer.pingReceived = true;
    peer.lastReceivedMs = now.steadyMs;
    peer.sequence = ping.sequence;
    peer.leaving = ping.leaving;
    peer.live = ping.live;
    peer.journalOffset = ping.journalOffset;
    if (ping.table) {
        mergeTable(state.table, importTable(*ping.table, state.settings.shardCount));
        closeGapFromPeers(state, now);
        reconcileRoles(state, now);
    }
    recordAnswer(peer, ping.heardSequence);
    updateNotices(state, peer, ping);
    updateAcknowledgements(state, peer, ping);
    settleRoster(state, now);
    Effects effects = advanceFences(state, now);
    const bool behind = ping.tableVersion != tableVersion(state.table);
    if (!ping.reply && (behind || !sentLatestState(state, peer))) {
        effects.push_back(makePing(state, ping.instance, peer, true, now));
    }
    return effects;
}

bool peerSilent(const OwnershipState &state, const std::string &instance, Common::Moment now)
{
    if (instance == state.self.instance) {
        return false;
    }
    const auto peer = state.peers.find(instance);
    if (peer == state.peers.end()) {
        return false;
    }
    const std::int64_t lastActivityMs =
            std::max(peer->second.lastReceivedMs, peer->second.firstTrackedMs);
    return now.steadyMs - lastActivityMs >= state.settings.peerSilenceMs;
}

/// A silent peer is lost only if neither a live gateway nor the log shows that it is active.
/// Otherwise two gateways that lose just the connection between them would claim each other's
/// shards again and again.
bool peerLost(const OwnershipState &state, const std::string &instance, Common::Moment now)
{
    if (!peerSilent(state, instance, now)) {
        return false;
    }
    const std::int64_t recordMs = state.peers.at(instance).lastRecordMs;
    if (recordMs != 0 && now.steadyMs - recordMs < state.settings.peerSilenceMs) {
        return false;
    }
    return std::none_of(state.peers.begin(), state.peers.end(), [&](const auto &other) {
        const std::vector<std::string> &live = other.second.live;
        return peerLive(state, other.first, now)
               && std::count(live.begin(), live.end(), instance) != 0;
    });
}

bool hasCaughtUpWithJournal(const OwnershipState &state, const std::string &instance)
{
    const auto peer = state.peers.find(instance);
    return peer != state.peers.end() && peer->second.journalOffset >= state.requiredJournalOffset;
}

bool peerLive(const OwnershipState &state, const std::string &instance, Common::Moment now)
{
    if (instance == state.self.instance) {
        return true;
    }
    const auto peer = state.peers.find(instance);
    return peer != state.peers.end() && peer->second.pingReceived
           && !peerSilent(state, instance, now);
}

std::vector<std::string> liveMembers(const OwnershipState &state, Common::Moment now)
{
    std::vector<std::string> live;
    for (const std::string &instance : rosterInstances(state.table)) {
        if (peerLive(state, instance, now)) {
            live.push_back(instance);
        }
    }
    std::sort(live.begin(), live.end());
    return live;
}

std::vector<std::string> eligibleOwners(const OwnershipState &state, Common::Moment now)
{
    std::vector<std::string> eligible = liveMembers(state, now);
    eligible.erase(std::remove_if(eligible.begin(), eligible.end(),
                                  [&](const std::string &instance) {
                                      const auto peer = state.peers.find(instance);
                                      return peer == state.peers.end() ? state.leaving
                                                                       : peer->second.leaving;
                                  }),
                   eligible.end());
    return eligible;
}

} // namespace Dispatch
