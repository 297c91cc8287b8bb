package org.beechhoist.config;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/** Number addresses; names are never looked up. */
public final class Addresses {
    private Addresses() {}

    /** The address in {@code a.b.c.d:port}, or null where it is not one. */
    public static InetSocketAddress parse(String text) {
        int colon = text == null ? -1 : text.indexOf(':');
        String[] parts = colon < 0 ? new String[0] : text.substring(0, colon).split("\\.", -1);
        if (parts.length != 4) {
            return null;
        }
        try {
            byte[] ip = new byte[4];
            for (int i = 0; i < 4; i++) {
                int part = Integer.parseInt(parts[i]);
                if (part < 0 || part > 255) {
                    return null;
                }
                ip[i] = (byte) part;
            }
            int port = Integer.parseInt(text.substring(colon + 1));
            return port < 1 || port > 65535 ? null : new InetSocketAddress(InetAddress.getByAddress(ip), port);
        } catch (NumberFormatException | UnknownHostException e) {
            return null;
        }
    }
}
