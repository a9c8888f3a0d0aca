#pragma once

#include "contracts/settings_answer.h"
#include "contracts/settings_proposal.h"
#include "core/endpoint.h"
#include "core/instant.h"

#include <cstdint>
#include <optional>
#include <string>

namespace sardinecourse::harness {

/** Proposes settings through the same HTTP call as the command-line tool. Empty
 * without an answer that can be decoded. */
std::optional<SettingsAnswer>
ProposeSettings(const Endpoint& aDaemon,
                const SettingsProposal& aProposal,
                Milliseconds aTimeout);

/** Settings revision in force on a daemon; empty when it does not answer. */
std::optional<std::int64_t>
RevisionInForce(const Endpoint& aDaemon, Milliseconds aTimeout);

/** Proposes the first settings of a fleet until the daemon accepts them; false
 * at the timeout. */
bool
PutFirstSettingsInForce(const Endpoint& aDaemon,
                        const std::string& aYaml,
                        Milliseconds aTimeout);

}
