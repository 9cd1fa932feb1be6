#include "ConfigCommands.h"

#include "AdminCommands.h"
#include "ConfigStore.h"
#include "Report.h"

#include <fmt/format.h>

#include <utility>

namespace fuchsialb {

namespace {

    using nlohmann::json;
    using Stored = std::optional<StoredHead>;

    /// The store as one command uses it.
    struct Session {
        std::unique_ptr<TransportClient> transport;
        std::unique_ptr<StoreClient> client;
        std::unique_ptr<ConfigStore> store;
    };

    absl::StatusOr<Session> openStore(const Settings& settings, const Environment& environment)
    {
        Session session;
        session.transport = std::make_unique<TransportClient>(environment.transport);
        auto client = StoreClient::create({ settings.store, settings.timeout }, *session.transport, *environment.clock);
        if (!client.ok())
            return client.status();
        session.client = *std::move(client);
        session.store = std::make_unique<ConfigStore>(*session.client, environment.sleep);
        return session;
    }

    ExitCode fail(Report& report, const absl::Status& status)
    {
        report.fail(status);
        return report.finish(exitCodeOf(status));
    }

    /// \return Nothing after the mistakes have been reported.
    std::optional<Configuration> readInput(const Settings& settings, const Environment& environment, Report& report)
    {
        const auto inventoryText = environment.readFile(settings.inventory);
        const auto rulesText = environment.readFile(settings.rules);
        for (const auto* text : { &inventoryText, &rulesText }) {
            if (!text->ok()) {
                report.fail(text->status());
                return std::nullopt;
            }
        }
        const Parsed<Inventory> inventory = InventoryParser::parse(*inventoryText, settings.inventory);
        const Parsed<Rules> rules = RulesParser::parse(*rulesText, settings.rules);
        report.fail(inventory.errors);
        report.fail(rules.errors);
        if (!inventory.ok() || !rules.ok())
            return std::nullopt;
        Parsed<Configuration> built = buildConfiguration(*inventory.value, *rules.value);
        report.fail(built.errors);
        return std::move(built.value);
    }

    /// \return The configuration of the head, or an empty one when there is none.
    absl::StatusOr<Configuration> loadOrEmpty(ConfigStore& store, const Stored& head)
    {
        return head ? store.load(head->head) : Configuration();
    }

    absl::StatusOr<Configuration> loadVersion(ConfigStore& store, ConfigurationVersion version)
    {
        const auto head = store.head();
        if (!head.ok())
            return head.status();
        if (*head && (*head)->head.version == version)
            return store.load((*head)->head);
        const auto history = store.history();
        if (!history.ok())
            return history.status();
        const ConfigurationHead* known = history->find(version);
        if (!known)
            return error(Reason::InvalidInput, fmt::format("version {} is not kept in the store", version.value()));
        return store.load(*known);
    }

    absl::StatusOr<Configuration> loadWanted(ConfigStore& store, const Settings& settings)
    {
        if (settings.version)
            return loadVersion(store, ConfigurationVersion(*settings.version));
        const auto head = store.head();
        if (!head.ok())
            return head.status();
        return loadOrEmpty(store, *head);
    }

    std::uint64_t versionOf(const Stored& head) { return head ? head->head.version.value() : 0; }

    std::string withoutLastBreak(std::string text)
    {
        if (text.ends_with('\n'))
            text.pop_back();
        return text;
    }

    void showDiff(const ConfigurationDiff& diff, const std::string& name, Report& report)
    {
        report.set(name, json::parse(diff.json()));
        if (!diff.empty())
            report.line(withoutLastBreak(diff.text()));
    }

    /// Reports what someone else applied since `seen`, or how it differs from `candidate` when `seen` is not kept.
    ExitCode reportConflict(ConfigStore& store, std::uint64_t seen, const Configuration& candidate, Report& report)
    {
        const auto now = store.head();
        if (!now.ok())
            return fail(report, now.status());
        report.set("version", versionOf(*now));
        report.fail(error(Reason::VersionConflict,
            fmt::format("expected version {}, the store has {}; nothing was changed", seen, versionOf(*now))));
        const auto theirs = loadOrEmpty(store, *now);
        if (!theirs.ok())
            return report.finish(ExitCode::Conflict);
        const auto base = seen == 0 ? Configuration() : loadVersion(store, ConfigurationVersion(seen));
        report.line(base.ok() ? fmt::format("applied by someone else since version {}:", seen)
                              : "difference from your input to what someone else applied:");
        showDiff(ConfigurationDiff::create(base.ok() ? *base : candidate, *theirs), "conflict", report);
        return report.finish(ExitCode::Conflict);
    }

    ExitCode accepted(std::uint64_t version, const Settings& settings, const Environment& environment, Report& report)
    {
        report.set("version", version);
        if (settings.admin.empty())
            return report.finish(ExitCode::Done);
        return report.finish(waitInForce(version, settings, environment, report));
    }

    ExitCode publish(ConfigStore& store, Configuration candidate, const Stored& present, const Settings& settings,
        const Environment& environment, Report& report)
    {
        candidate.version = ConfigurationVersion(versionOf(present) + 1);
        const std::uint64_t version = candidate.version.value();
        switch (store.publish(candidate, present)) {
        case ConfigStore::Published::Accepted:
            report.line(fmt::format("accepted version={}", version));
            report.set("accepted", true);
            return accepted(version, settings, environment, report);
        case ConfigStore::Published::Conflict:
            return reportConflict(store, versionOf(present), candidate, report);
        case ConfigStore::Published::Unavailable:
            return fail(report, error(Reason::StoreUnavailable, "the store can't be written; nothing was changed"));
        case ConfigStore::Published::Unknown:
            break;
        }
        return fail(report,
            error(Reason::StoreAnswerLost,
                fmt::format("version {} may have been accepted; config show tells when the store answers", version)));
    }

} // namespace

ExitCode checkConfig(const Settings& settings, const Environment& environment)
{
    Report report(environment, settings.json);
    const auto input = readInput(settings, environment, report);
    if (!input)
        return report.finish(ExitCode::InvalidInput);
    report.line(fmt::format("valid targets={} endpoints={} organisations={}", input->targets.size(),
        input->endpoints.size(), input->organisations.size()));
    report.set("targets", input->targets.size());
    report.set("endpoints", input->endpoints.size());
    report.set("organisations", input->organisations.size());
    return report.finish(ExitCode::Done);
}

ExitCode diffConfig(const Settings& settings, const Environment& environment)
{
    Report report(environment, settings.json);
    const auto input = readInput(settings, environment, report);
    if (!input)
        return report.finish(ExitCode::InvalidInput);
    const auto session = openStore(settings, environment);
    if (!session.ok())
        return fail(report, session.status());
    const auto stored = loadWanted(*session->store, settings);
    if (!stored.ok())
        return fail(report, stored.status());
    const ConfigurationDiff diff = ConfigurationDiff::create(*stored, *input);
    report.line(fmt::format("compared with version={} changes={}", stored->version.value(), diff.changes().size()));
    report.set("version", stored->version.value());
    showDiff(diff, "changes", report);
    return report.finish(ExitCode::Done);
}

ExitCode applyConfig(const Settings& settings, const Environment& environment)
{
    Report report(environment, settings.json);
    auto input = readInput(settings, environment, report);
    if (!input)
        return report.finish(ExitCode::InvalidInput);
    const auto session = openStore(settings, environment);
    if (!session.ok())
        return fail(report, session.status());
    ConfigStore& store = *session->store;
    const auto present = store.head();
    if (!present.ok())
        return fail(report, present.status());
    if (settings.expect && *settings.expect != versionOf(*present))
        return reportConflict(store, *settings.expect, *input, report);
    const auto stored = loadOrEmpty(store, *present);
    if (!stored.ok())
        return fail(report, stored.status());
    const ConfigurationDiff diff = ConfigurationDiff::create(*stored, *input);
    showDiff(diff, "changes", report);
    if (*present && diff.empty()) {
        report.line(fmt::format("unchanged version={}", versionOf(*present)));
        report.set("accepted", false);
        return accepted(versionOf(*present), settings, environment, report);
    }
    return publish(store, *std::move(input), *present, settings, environment, report);
}

ExitCode showConfig(const Settings& settings, const Environment& environment)
{
    Report report(environment, settings.json);
    const auto session = openStore(settings, environment);
    if (!session.ok())
        return fail(report, session.status());
    const auto stored = loadWanted(*session->store, settings);
    if (!stored.ok())
        return fail(report, stored.status());
    report.line(fmt::format("version={}", stored->version.value()));
    report.set("version", stored->version.value());
    report.set("configuration", json::parse(encodeConfiguration(*stored)));
    const std::string entries = ConfigurationDiff::create(Configuration(), *stored).text();
    if (!entries.empty())
        report.line(withoutLastBreak(entries));
    return report.finish(ExitCode::Done);
}

ExitCode listHistory(const Settings& settings, const Environment& environment)
{
    Report report(environment, settings.json);
    const auto session = openStore(settings, environment);
    if (!session.ok())
        return fail(report, session.status());
    const auto present = session->store->head();
    if (!present.ok())
        return fail(report, present.status());
    const auto history = session->store->history();
    if (!history.ok())
        return fail(report, history.status());
    std::vector<std::pair<ConfigurationHead, bool>> heads;
    for (const ConfigurationHead& head : history->heads) {
        if (head.version.value() < versionOf(*present))
            heads.emplace_back(head, false);
    }
    if (*present)
        heads.emplace_back((*present)->head, true);
    report.set("versions", json::array());
    for (const auto& [head, isHead] : heads) {
        report.line(fmt::format("version={} digest={} chunks={}{}", head.version.value(), toHex(head.digest),
            head.chunks.size(), isHead ? " head" : ""));
        report.append(
            "versions", { { "version", head.version.value() }, { "digest", toHex(head.digest) }, { "head", isHead } });
    }
    return report.finish(ExitCode::Done);
}

} // namespace fuchsialb
