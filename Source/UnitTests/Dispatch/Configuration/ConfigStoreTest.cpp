#include <doctest/doctest.h>

#include "Dispatch/Configuration/ConfigStore.h"

using namespace Dispatch;

namespace {

constexpr std::int64_t WallMs = 1700000000000;

Common::Moment at(std::int64_t ms)
{
    return Common::Moment{ms, WallMs + ms};
}

Schema::ConfigChange team(const std::string &name, std::int64_t weight)
{
    Schema::ConfigChange change;
    change.kind = Schema::ConfigKind::Team;
    change.name = name;
    change.team.emplace();
    change.team->name = name;
    change.team->weight = weight;
    return change;
}

Schema::ConfigChange removal(const std::string &name)
{
    Schema::ConfigChange change;
    change.kind = Schema::ConfigKind::Team;
    change.name = name;
    change.remove = true;
    return change;
}

/// Several configuration stores that read and write one log stream.
struct Site
{
    std::vector<ConfigStore> stores;
    std::vector<Schema::LogRecord> stream;
    std::int64_t oldest = 0;
    std::uint64_t nextBatch = 1;
    Common::Random random;

    explicit Site(int count, const Safeguards &safeguards = {})
    {
        ConfigSettings settings;
        settings.safeguards = safeguards;
        for (int store = 0; store < count; ++store) {
            this->stores.push_back(makeConfigStore(settings, "gateway-" + std::to_string(store)));
        }
    }

    Schema::Reason propose(std::size_t store, const Schema::ConfigChange &change,
                           std::int64_t basedOn, std::int64_t ms)
    {
        Schema::Reason reason = Schema::Reason::None;
        Common::handle(
                [&]() -> Common::Outcome<void> {
                    return proposeChange(this->stores[store], "request", change, basedOn, at(ms),
                                         this->random);
                },
                [&](const Common::Failure &failed) { reason = failed.reason; });
        return reason;
    }

    void append(std::size_t store, std::int64_t ms, AppendStatus status, bool writes = false)
    {
        for (const Effect &effect :
             configTick(this->stores[store], this->nextBatch, writes, at(ms), this->random)) {
            if (const auto *append = std::get_if<AppendToLog>(&effect)) {
                this->stream.insert(this->stream.end(), append->records.begin(),
                                    append->records.end());
                handleConfigAppendResult(this->stores[store], append->batch, status, at(ms));
            }
        }
    }

    void read(std::size_t store, std::int64_t ms)
    {
        LogRead read;
        read.oldestOffset = this->oldest;
        read.nextOffset = static_cast<std::int64_t>(this->stream.size());
        read.atEnd = true;
        for (std::int64_t offset = this->oldest; offset < read.nextOffset; ++offset) {
            Schema::LogEntry entry;
            entry.offset = offset;
            entry.record = this->stream[static_cast<std::size_t>(offset)];
            read.entries.push_back(std::move(entry));
        }
        handleConfigRead(this->stores[store], read, at(ms));
    }
};

} // namespace

TEST_CASE("A change that is not valid is refused with its reason")
{
    struct Row
    {
        Schema::ConfigChange change;
        Schema::Reason reason;
    };
    Schema::ConfigChange valueless = team("quotes", 1);
    valueless.team.reset();
    Schema::ConfigChange otherName = team("quotes", 1);
    otherName.team->name = "despatch";
    const std::vector<Row> rows = {
            {team("quotes", 5), Schema::Reason::None},
            {team("quotes", 0), Schema::Reason::ConfigInvalid},
            {team("quotes", 1001), Schema::Reason::ConfigInvalid},
            {team("", 5), Schema::Reason::ConfigInvalid},
            {team(std::string(129, 'q'), 5), Schema::Reason::ConfigInvalid},
            {removal("quotes"), Schema::Reason::ConfigInvalid},
            {valueless, Schema::Reason::ConfigInvalid},
            {otherName, Schema::Reason::ConfigInvalid},
    };
    for (const Row &row : rows) {
        Site site(1);
        CAPTURE(nlohmann::json(row.change).dump());
        CHECK(site.propose(0, row.change, 0, 0) == row.reason);
    }
}

TEST_CASE("The first of two changes in the log is applied, the second is reported as a conflict")
{
    // Two operators change one team at two gateways, both based on version 0. The change that is
    // first in the log takes effect everywhere; the other is answered with a conflict. Neither the
    // second record nor a repetition of the first one, whose answer was lost, changes anything.
    for (const bool on : {true, false}) {
        CAPTURE(on);
        Safeguards safeguards;
        safeguards.conditionalRecords = on;
        Site site(3, safeguards);
        CHECK(site.propose(0, team("quotes", 1), 0, 0) == Schema::Reason::None);
        CHECK(site.propose(1, team("quotes", 2), 0, 0) == Schema::Reason::None);
        site.append(0, 0, AppendStatus::Unknown);
        site.append(1, 0, AppendStatus::Durable);
        site.append(0, 300, AppendStatus::Durable);
        for (const std::size_t store : {0U, 1U, 2U}) {
            site.read(store, 310);
        }
        const Schema::Configuration &last = configuration(site.stores[2]);
        CHECK((last.version == 1) == on);
        CHECK((takeChangeResults(site.stores[1]).at(0).status == ChangeStatus::Conflict) == on);
        CHECK(takeChangeResults(site.stores[0]).at(0).status == ChangeStatus::Accepted);
        CHECK(last.teams.at(0).weight == 1);
        CHECK(site.propose(1, team("quotes", 3), 0, 400) == Schema::Reason::ConfigConflict);
    }
}

TEST_CASE("A gateway cut off from the log learns from peers and never goes back")
{
    Site site(2);
    site.propose(0, team("quotes", 1), 0, 0);
    site.append(0, 0, AppendStatus::Durable);
    site.read(0, 10);
    updatePeerVersion(site.stores[1], 1);
    CHECK_FALSE(configurationReady(site.stores[1]));
    CHECK(adoptConfiguration(site.stores[1], configuration(site.stores[0])));
    CHECK(configurationReady(site.stores[1]));
    CHECK_FALSE(adoptConfiguration(site.stores[1], Schema::Configuration{}));
    CHECK(configuration(site.stores[1]).version == 1);
    site.read(1, 20);
    CHECK(configuration(site.stores[1]).teams.size() == 1);
}

TEST_CASE("A fresh gateway starts from a snapshot after retention dropped the changes")
{
    // The log has dropped the first change because of its age. One gateway has written a snapshot
    // of the configuration in time; a new gateway reads the snapshot and the changes after it.
    Site site(2);
    site.propose(0, team("quotes", 1), 0, 0);
    site.append(0, 0, AppendStatus::Durable);
    site.read(0, 10);
    const std::int64_t due = site.stores[0].settings.dedupWindowMs / 2;
    site.append(0, due - 100, AppendStatus::Durable, true);
    CHECK(site.stream.size() == 1);
    site.append(0, due + 100, AppendStatus::Durable, true);
    CHECK(site.stream.size() == 2);
    site.read(0, due + 200);
    site.propose(0, team("despatch", 2), 1, due + 200);
    site.append(0, due + 200, AppendStatus::Durable, true);
    site.oldest = 1;
    site.read(1, due + 300);
    CHECK(configurationReady(site.stores[1]));
    CHECK(configuration(site.stores[1]).teams.size() == 2);
    CHECK(configuration(site.stores[1]).version == 3);
}

TEST_CASE("Without any snapshot a site starts afresh instead of staying down for good")
{
    Site site(1);
    site.stream.resize(5);
    site.oldest = 5;
    site.read(0, 0);
    site.append(0, 29000, AppendStatus::Durable);
    CHECK_FALSE(configurationReady(site.stores[0]));
    site.append(0, 30000, AppendStatus::Durable);
    CHECK(configurationReady(site.stores[0]));
}

TEST_CASE("Failure domains are evacuated and taken back by changes of the configuration")
{
    Schema::ConfigChange change;
    change.kind = Schema::ConfigKind::Evacuation;
    change.name = "beja";
    change.evacuation = Schema::Evacuation{"beja"};
    Schema::Configuration configuration;
    CHECK(configChangeError(change).empty());
    // An operator who mistypes the name would believe the failure domain evacuated.
    CHECK(evacuationError(change, {"beja", "tunis"}).empty());
    CHECK(evacuationError(change, {"tunis"}).find("only in tunis") != std::string::npos);
    applyConfigChange(configuration, change, 7);
    applyConfigChange(configuration, change, 8);
    CHECK(evacuationsOf(configuration).size() == 1);
    CHECK(isEvacuated(configuration, "beja"));
    CHECK_FALSE(isEvacuated(configuration, "tunis"));
    change.evacuation.reset();
    change.remove = true;
    CHECK(configReferenceError(configuration, change).empty());
    CHECK(evacuationError(change, {}).empty());
    applyConfigChange(configuration, change, 9);
    CHECK_FALSE(isEvacuated(configuration, "beja"));
    CHECK_FALSE(configReferenceError(configuration, change).empty());
    // A document of an earlier version does not name any.
    CHECK(evacuationsOf(Schema::Configuration{}).empty());
}
