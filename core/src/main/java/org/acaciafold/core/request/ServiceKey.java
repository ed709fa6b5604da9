package org.acaciafold.core.request;

import org.acaciafold.core.model.TeamId;

/**
 * A service: names are unique within a team.
 *
 * @param team the team that submitted it
 * @param name its name
 */
public record ServiceKey(TeamId team, String name) implements Comparable<ServiceKey> {
    @Override
    public int compareTo(ServiceKey that) {
        int byTeam = team.compareTo(that.team);
        return byTeam != 0 ? byTeam : name.compareTo(that.name);
    }
}
