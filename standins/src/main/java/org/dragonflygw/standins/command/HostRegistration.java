package org.dragonflygw.standins.command;

import java.io.IOException;
import java.net.URI;
import java.util.concurrent.TimeUnit;
import org.apache.hc.client5.http.classic.methods.HttpUriRequestBase;
import org.apache.hc.client5.http.config.RequestConfig;
import org.apache.hc.client5.http.impl.classic.CloseableHttpClient;
import org.apache.hc.client5.http.impl.classic.HttpClients;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.dragonflygw.core.fleet.HostEntry;
import org.dragonflygw.standins.http.Json;
import org.dragonflygw.standins.http.StandinCode;
import org.dragonflygw.standins.http.StandinException;

/** Client that adds hosts to, and removes hosts from, the host list of a running {@code PlatformServer}. */
final class HostRegistration {
    private static final int TIMEOUT_SECONDS = 5;
    private static final int FIRST_ERROR = 300;
    private static final int NOT_FOUND = 404;

    private final String hostsUrl;

    HostRegistration(String platformUrl) {
        hostsUrl = platformUrl + "/admin/hosts";
    }

    void register(HostEntry host) {
        HttpUriRequestBase request = new HttpUriRequestBase("POST", URI.create(hostsUrl));
        request.setEntity(new ByteArrayEntity(Json.write(host), ContentType.APPLICATION_JSON));
        send(request);
    }

    void remove(String id) {
        send(new HttpUriRequestBase("DELETE", URI.create(hostsUrl + "/" + id)));
    }

    private static void send(HttpUriRequestBase request) {
        request.setConfig(RequestConfig.custom()
                .setResponseTimeout(TIMEOUT_SECONDS, TimeUnit.SECONDS)
                .build());
        try (CloseableHttpClient client =
                HttpClients.custom().disableAutomaticRetries().build()) {
            int status = client.execute(request, response -> response.getCode());
            if (status >= FIRST_ERROR && status != NOT_FOUND) {
                throw new StandinException(
                        StandinCode.REGISTRATION,
                        "the platform answered the change of its host list with status " + status);
            }
        } catch (IOException e) {
            throw new StandinException(
                    StandinCode.REGISTRATION, "the platform cannot be reached to change its host list", e);
        }
    }
}
