#include "GatewaySettings.h"

#include "fuchsialb/Json.h"

#include <absl/strings/numbers.h>
#include <fmt/format.h>

#include <cstdlib>
#include <fstream>
#include <optional>
#include <sstream>

namespace fuchsialb {

namespace {

    using nlohmann::json;

    constexpr double bytesPerMegabyte = 1'048'576;

    /// \return The positive whole number in an environment variable, or none.
    std::optional<std::int64_t> environmentNumber(const char* name)
    {
        const char* text = std::getenv(name);
        std::int64_t value = 0;
        constexpr std::int64_t most = 1'000'000'000;
        const bool isValid = text && absl::SimpleAtoi(text, &value) && value > 0 && value <= most;
        return isValid ? std::optional(value) : std::nullopt;
    }

    MachineLimits machineFromEnvironment()
    {
        MachineLimits machine;
        if (const auto megabytes = environmentNumber("FUCHSIALB_MEMORY_MB"))
            machine.memory = Bytes(*megabytes * static_cast<std::int64_t>(bytesPerMegabyte));
        if (const auto descriptors = environmentNumber("FUCHSIALB_MAX_DESCRIPTORS"))
            machine.descriptors = static_cast<std::size_t>(*descriptors);
        return machine;
    }

    /// \brief Reads the fields of a JSON object and keeps the first error.
    class FieldReader {
    public:
        explicit FieldReader(const json& object)
            : m_object(object)
        {
        }

        std::string text(const char* name)
        {
            const auto found = m_object.find(name);
            if (found != m_object.end() && found->is_string() && !found->get_ref<const std::string&>().empty())
                return found->get<std::string>();
            fail(name, "a non-empty string");
            return {};
        }

        SocketAddress address(const char* name)
        {
            auto parsed = parseSocketAddress(text(name));
            if (parsed.ok())
                return *std::move(parsed);
            fail(name, "IP:port");
            return {};
        }

        double number(const char* name, double fallback)
        {
            const auto found = m_object.find(name);
            if (found == m_object.end() || found->is_null())
                return fallback;
            if (found->is_number() && found->get<double>() >= 0)
                return found->get<double>();
            fail(name, "a non-negative number");
            return fallback;
        }

        /// \return A share of a whole.
        double ratio(const char* name, double fallback)
        {
            const double value = number(name, fallback);
            if (value <= 1)
                return value;
            fail(name, "a number from 0 to 1");
            return fallback;
        }

        Duration milliseconds(const char* name, Duration fallback)
        {
            const double value = number(name, static_cast<double>(fallback.count()) / microsecondsPerMillisecond);
            return Duration(static_cast<Duration::rep>(value * microsecondsPerMillisecond));
        }

        Duration seconds(const char* name, Duration fallback)
        {
            const double value = number(name, static_cast<double>(fallback.count()) / microsecondsPerSecond);
            return Duration(static_cast<Duration::rep>(value * microsecondsPerSecond));
        }

        bool flag(const char* name, bool fallback)
        {
            const auto found = m_object.find(name);
            if (found == m_object.end() || found->is_null())
                return fallback;
            if (found->is_boolean())
                return found->get<bool>();
            fail(name, "true or false");
            return fallback;
        }

        const absl::Status& status() const { return m_status; }

    private:
        static constexpr double microsecondsPerMillisecond = 1000;
        static constexpr double microsecondsPerSecond = 1'000'000;

        void fail(const char* name, const char* expected)
        {
            if (m_status.ok())
                m_status = error(Reason::InvalidInput, fmt::format("setting '{}' must be {}", name, expected));
        }

        const json& m_object;
        absl::Status m_status;
    };

} // namespace

absl::StatusOr<GatewaySettings> GatewaySettings::parse(std::string_view text, const MachineLimits& machine)
{
    const json object = parseJson(text);
    if (!object.is_object())
        return error(Reason::InvalidInput, "gateway settings are not a JSON object");
    FieldReader reader(object);
    GatewaySettings settings;
    settings.host = HostId(reader.text("host"));
    settings.dataCentre = DataCentreId(reader.text("data_centre"));
    settings.callerAddress = reader.address("listen_callers");
    settings.readinessAddress = reader.address("listen_readiness");
    settings.peerAddress = reader.address("listen_peers");
    settings.metricsAddress = reader.address("listen_metrics");
    settings.storeAddress = reader.address("store").text();
    if (reader.flag("keys_need_proof", false))
        settings.keyTrust = reader.milliseconds("key_trust_ms", std::chrono::seconds(5));
    settings.configurationBound = reader.milliseconds("configuration_bound_ms", settings.configurationBound);
    settings.registryBound = reader.milliseconds("registry_bound_ms", settings.registryBound);
    settings.stopGrace = reader.seconds("stop_grace_s", settings.stopGrace);
    settings.retryRatio = reader.number("repeat_ratio", settings.retryRatio);
    settings.retryWindow = reader.seconds("repeat_window_s", settings.retryWindow);
    settings.retryAllowance = reader.number("repeat_allowance", settings.retryAllowance);
    settings.hedgeRatio = reader.ratio("hedge_ratio", settings.hedgeRatio);
    const double memory = reader.number("memory_mb", static_cast<double>(machine.memory.value()) / bytesPerMegabyte);
    settings.machine.memory = Bytes(static_cast<std::int64_t>(memory * bytesPerMegabyte));
    settings.machine.descriptors
        = static_cast<std::size_t>(reader.number("max_descriptors", static_cast<double>(machine.descriptors)));
    if (!reader.status().ok())
        return reader.status();
    return settings;
}

absl::StatusOr<GatewaySettings> GatewaySettings::load(const std::string& file)
{
    std::ifstream stream(file);
    if (!stream)
        return error(Reason::InvalidInput, fmt::format("can't read settings file '{}'", file));
    std::ostringstream text;
    text << stream.rdbuf();
    return parse(text.str(), machineFromEnvironment());
}

} // namespace fuchsialb
