#pragma once

#include "node/messages_p.h"
#include "table_client/table_client.h"

#include <functional>
#include <optional>

namespace buckthornford {

/// The task that reads and changes the configuration in the platform's table.
class ConfigurationTask : public Task<ConfigurationMessage>
{
public:
    using Callback = std::function<void(ConfigurationArrived)>;

    /// \a endpoint may be empty: then every change is refused.
    ConfigurationTask(const std::optional<Endpoint> &endpoint, Duration spread, Callback listener);
    ~ConfigurationTask() override;

protected:
    void handle(ConfigurationMessage &&message, TimePoint now) override;
    TimePoint tick(TimePoint now) override;

private:
    void on(ReaderRoleChanged &&message, TimePoint now);
    void on(ChangeRequest &&message, TimePoint now);

    /// What the table holds; revision 0 if there is no configuration yet.
    struct Stored
    {
        std::optional<Configuration> configuration;
        std::uint64_t version = 0;
    };

    Result<Stored> readStored();
    Result<ChangeOutcome> tryChange(const Change &change);
    Result<std::optional<ChangeOutcome>> findEarlier(const Change &change);
    void learn(const Configuration &configuration);

    std::optional<TableClient> m_table;
    Duration m_spread;
    Callback m_listener;
    bool m_isReader = true;
    Revision m_known;
    TimePoint m_nextPoll;
};

} // namespace buckthornford
