#include "CapacityMeasurements.h"
#include "CapacityScale.h"

namespace fuchsialb::bench {

namespace {

    constexpr double microsecondsPerPercent = 10'000;
    constexpr double megabyte = 1e6;
    constexpr double averageTokens = scale::tokensPerSecond / scale::requestsPerSecond;
    // 317 tokens at the target of 60 ms between tokens (S1).
    constexpr double requestSeconds = averageTokens * 0.06;
    constexpr double groupTokensPerSecond = scale::tokensPerSecond / scale::groups;
    constexpr double groupRequestsPerSecond = scale::requestsPerSecond / scale::groups;
    // Finished requests are kept 10 s (SchedulerTable) and swept each second.
    constexpr double keptSeconds = 11;
    constexpr double changesPerSecond = scale::configurationChangesPerDay / scale::secondsPerDay;
    constexpr double claimRecords = scale::claimsPerSecond * scale::claimRetentionSeconds;
    constexpr double segmentBytes = 900'000;
    constexpr double recordBytes = 43;
    constexpr double smallSegmentBytes = 64'000;
    // The largest number of writers that was measured; a line beyond it would pass the number of claims.
    constexpr double measuredWriters = 16;
    constexpr double chunksOfConfiguration = 2;
    constexpr double watchers = 2 * scale::dataCentres;

    /// \brief Adds the figures of one report.
    class Figures {
    public:
        explicit Figures(CapacityReport& report)
            : m_report(report)
        {
        }

        void addAll()
        {
            entryDaemon();
            bridge();
            groupScheduler();
            claimWriter();
            watcher();
            store();
        }

    private:
        double at(const std::string& series, double x) const { return m_report.line(series).at(x); }
        double slope(const std::string& series) const { return m_report.line(series).slope; }

        /// A quantity of the configuration at the size to design for, from its two lines.
        double config(const std::string& quantity) const
        {
            return at(quantity + "_by_runners", scale::runners)
                + slope(quantity + "_by_organisations") * (scale::organisations - 10);
        }

        double changeBytes() const
        {
            return at("config_change_bytes", scale::runners)
                + slope("config_bytes_by_organisations") * (scale::organisations - 10);
        }

        double configCpuPercent() const
        {
            return changesPerSecond * (config("config_decode_us") + at("chooser_configure_us", scale::runners))
                / microsecondsPerPercent;
        }

        double controlMemory() const
        {
            // The version in force with its encoding, the next one, and the peak of its decoding.
            return at("member_memory", scale::members) + at("chooser_bytes", scale::runners) + config("config_memory")
                + 2 * config("config_bytes") + config("config_decode_peak");
        }

        double entryMemory() const
        {
            return scale::requestsPerSecond / scale::daemons * requestSeconds * slope("entry_bytes_running");
        }

        double schedulerMemory() const
        {
            return groupRequestsPerSecond
                * (requestSeconds * slope("scheduler_bytes_running") + keptSeconds * slope("scheduler_bytes_finished"));
        }

        void entryDaemon()
        {
            const std::string role = "entry daemon";
            m_report.add({ "member-bytes", role, "membership and loads, sent", at("member_bytes", scale::members),
                "B/s", scale::controlBytesPerSecond, true, "member_bytes(155)", "" });
            m_report.add({ "member-bytes-largest", role, "membership and loads, sent by the busiest daemon",
                at("member_bytes_largest", scale::members), "B/s", scale::controlBytesPerSecond, true,
                "member_bytes_largest(155)", "relay only loads that changed, with short ids and no address" });
            m_report.add({ "", role, "membership messages, sent", at("member_messages", scale::members), "/s", 0, true,
                "member_messages(155)", "" });
            m_report.add({ "config-change-bytes", role, "configuration pulled from peers",
                changesPerSecond * changeBytes(), "B/s", scale::controlBytesPerSecond, true,
                "9,600/86,400 x (config_change_bytes(5,000) + config_bytes_by_organisations slope x 1,490)",
                "send what changed between two versions, or batch changes" });
            m_report.add({ "control-cpu", role, "control CPU",
                at("member_cpu_us", scale::members) / microsecondsPerPercent + configCpuPercent(), "% of a core",
                scale::corePercent, false,
                "member_cpu_us(155) + 9,600/86,400 x (config_decode_us + chooser_configure_us(5,000))", "" });
            m_report.add({ "", role, "decoding of one configuration, in one piece", config("config_decode_us") / 1000,
                "ms", 0, false, "config_decode_us_by_runners(5,000) + slope by organisations x 1,490", "" });
            m_report.add({ "control-memory", role, "control memory", controlMemory() / megabyte, "MB",
                scale::memoryBytes / megabyte, true,
                "member_memory(155) + chooser_bytes + config_memory + 2 x config_bytes + config_decode_peak", "" });
            m_report.add({ "", role, "requests in progress", entryMemory() / megabyte, "MB", 0, true,
                "29,000/1,700 x 19 s x entry_bytes_running slope", "" });
            const double tokens = scale::tokensPerSecond / scale::daemons;
            m_report.add({ "", role, "tokens, CPU",
                tokens * (slope("open_token_us") + slope("entry_token_us")) / microsecondsPerPercent, "% of a core", 0,
                false, "9.2 million/1,700 x (open_token_us + entry_token_us slopes)", "" });
            m_report.add({ "", role, "group choice, CPU",
                scale::requestsPerSecond / scale::daemons * at("group_choice_us", scale::runners)
                    / microsecondsPerPercent,
                "% of a core", 0, false, "29,000/1,700 x group_choice_us(5,000)", "" });
        }

        void bridge()
        {
            m_report.add({ "bridge-bytes", "bridge", "membership, loads and bridging, sent",
                at("bridge_bytes", scale::members), "B/s", scale::controlBytesPerSecond, true, "bridge_bytes(155)",
                "longer remote period, or short ids of groups and hosts" });
            m_report.add({ "", "bridge", "messages, sent", at("bridge_messages", scale::members), "/s", 0, true,
                "bridge_messages(155)", "" });
            m_report.add({ "bridge-cpu", "bridge", "control CPU",
                at("bridge_cpu_us", scale::members) / microsecondsPerPercent + configCpuPercent(), "% of a core",
                scale::corePercent, false, "bridge_cpu_us(155) + configuration as the entry daemon", "" });
        }

        void groupScheduler()
        {
            const std::string role = "group scheduler";
            m_report.add({ "", role, "decisions, CPU",
                groupRequestsPerSecond * at("scheduler_decision_us", scale::runnersPerGroup) / microsecondsPerPercent,
                "% of a core", 0, false, "29,000/417 x scheduler_decision_us(12)", "" });
            m_report.add({ "", role, "tokens, CPU",
                groupTokensPerSecond * (slope("scheduler_token_us") + slope("seal_token_us")) / microsecondsPerPercent,
                "% of a core", 0, false, "9.2 million/417 x (scheduler_token_us + seal_token_us slopes)", "" });
            m_report.add({ "", role, "token messages, sent", groupTokensPerSecond, "/s", 0, true,
                "9.2 million/417, one message for each token", "" });
            m_report.add({ "", role, "tokens, sent", groupTokensPerSecond * slope("token_link_bytes") / megabyte,
                "MB/s", 0, true, "9.2 million/417 x token_link_bytes slope", "" });
            m_report.add({ "", role, "requests running and kept", schedulerMemory() / megabyte, "MB", 0, true,
                "29,000/417 x (19 s x scheduler_bytes_running + 11 s x scheduler_bytes_finished slopes)", "" });
            m_report.add({ "scheduler-memory", role, "control memory, entry and scheduler state, without claims",
                (controlMemory() + entryMemory() + schedulerMemory()) / megabyte, "MB", scale::memoryBytes / megabyte,
                true, "sum of the rows above", "keep finished tokens as one string, for a shorter time" });
            m_report.add({ "claim-index-scheduler", role, "claims of all shards of its target",
                claimRecords / scale::models * slope("claim_index_bytes") / megabyte, "MB",
                scale::memoryBytes / megabyte, true, "2,900 x 86,400 / 4 targets x claim_index_bytes slope",
                "one writer for each shard, shards spread over all daemons, or shorter retention" });
            m_report.add({ "claim-writes-all-schedulers", role,
                "claim writes when the schedulers of a target write to all of its shards (16; there are 104)",
                at("claim_writes_by_writers", measuredWriters), "writes/s", scale::storeWritesPerSecond, true,
                "claim_writes_by_writers(16)", "one writer for each shard" });
            m_report.add({ "claim-reads-all-schedulers", role, "claim reads after lost races, 16 writers",
                at("claim_reads_by_writers", measuredWriters), "reads/s", scale::storeReadsPerSecond, true,
                "claim_reads_by_writers(16)", "one writer for each shard" });
        }

        void claimWriter()
        {
            const std::string role = "claim writer";
            const double records = segmentBytes / 2 / recordBytes;
            const double bytes = at("claim_bytes_by_records", records);
            const double small = at("claim_bytes_by_segment", smallSegmentBytes);
            m_report.add({ "", role, "all claim bytes, 900 KB segments", bytes / megabyte, "MB/s", 0, true,
                "claim_bytes_by_records(450,000 / 43)", "" });
            m_report.add({ "", role, "all claim bytes, 64 KB segments", small / megabyte, "MB/s", 0, true,
                "claim_bytes_by_segment(64,000)", "" });
            m_report.add({ "claim-bytes", role, "claim bytes of the writer of one of 64 shards, 900 KB segments",
                bytes / scale::claimShards, "B/s", scale::controlBytesPerSecond, true,
                "claim_bytes_by_records(450,000 / 43) / 64",
                "a write carries its batch alone (2 x 2,900 x 43 B / 64 = 3.9 KB/s)" });
            m_report.add({ "claim-bytes-small", role, "the same with 64 KB segments", small / scale::claimShards, "B/s",
                scale::controlBytesPerSecond, true, "claim_bytes_by_segment(64,000) / 64", "as above" });
            m_report.add({ "claim-index", role, "all claims of 24 h in one daemon",
                claimRecords * slope("claim_index_bytes") / megabyte, "MB", scale::memoryBytes / megabyte, true,
                "2,900 x 86,400 x claim_index_bytes slope", "spread over all daemons, or shorter retention" });
            m_report.add({ "claim-index-spread", role, "all claims of 24 h spread over 1,700 daemons",
                claimRecords * slope("claim_index_bytes") / scale::daemons / megabyte, "MB",
                scale::memoryBytes / megabyte, true, "2,900 x 86,400 x claim_index_bytes slope / 1,700", "" });
            m_report.add({ "", role, "sealed segments that the next writer of one of 64 shards reads",
                claimRecords / scale::claimShards * recordBytes / megabyte, "MB", 0, true, "2,900 x 86,400 / 64 x 43 B",
                "" });
            m_report.add({ "", role, "claims, CPU of all writers",
                at("claim_cpu_us", scale::claimsPerSecond) / microsecondsPerPercent, "% of a core", 0, false,
                "claim_cpu_us(2,900), segments almost empty", "" });
        }

        void watcher()
        {
            m_report.add({ "watcher-calls", "configuration watcher", "store calls of all watchers",
                at("watcher_calls", scale::dataCentres), "reads/s", scale::storeReadsPerSecond, true,
                "watcher_calls(11)", "" });
            m_report.add({ "", "configuration watcher", "reads of changed chunks, all watchers",
                watchers * changesPerSecond * chunksOfConfiguration, "reads/s", 0, true, "22 x 9,600/86,400 x 2 chunks",
                "" });
            m_report.add(
                { "", "operator's client", "writes of chunks and head", changesPerSecond * (chunksOfConfiguration + 1),
                    "writes/s", 0, true, "9,600/86,400 x (2 chunks + 1)", "" });
        }

        void store()
        {
            const double operators = changesPerSecond * (chunksOfConfiguration + 1);
            m_report.add({ "store-writes", "platform store", "writes, one claim writer for each shard",
                at("claim_writes_by_shards", scale::claimShards) + operators, "writes/s", scale::storeWritesPerSecond,
                true, "claim_writes_by_shards(64) + 9,600/86,400 x 3", "" });
            m_report.add({ "store-reads", "platform store", "reads, one claim writer for each shard",
                at("watcher_calls", scale::dataCentres) + watchers * changesPerSecond * chunksOfConfiguration,
                "reads/s", scale::storeReadsPerSecond, true, "watcher_calls(11) + 22 x 9,600/86,400 x 2", "" });
        }

        CapacityReport& m_report;
    };

} // namespace

void addCapacityFigures(CapacityReport& report) { Figures(report).addAll(); }

} // namespace fuchsialb::bench
