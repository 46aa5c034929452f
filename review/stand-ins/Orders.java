package review;

import java.util.List;

/** The rule ONE for the orders that one engine has received, where engines do not check fencing tokens. */
final class Orders {
    private static final double LEASE_SECONDS = 3.0;
    private static final double THAW_SECONDS = 0.3;

    private Orders() {
    }

    /** Returns what breaks the rule, or null. Orders within the thaw time after [healedSeconds] do not count. */
    static String fault(List<Engine.Order> orders, double healedSeconds) {
        Engine.Order last = null;
        long highest = Long.MIN_VALUE;
        for (Engine.Order order : orders) {
            if (order.seconds() >= healedSeconds && order.seconds() <= healedSeconds + THAW_SECONDS) continue;
            if (order.token() < highest) {
                return String.format("order at %.3f s by %s with token %d after token %d", order.seconds(), order.holder(),
                    order.token(), highest);
            }
            if (last != null && !last.holder().equals(order.holder())) {
                double gap = order.seconds() - last.seconds();
                if (last.token() == order.token()) return "two holders with token " + order.token();
                if (gap < LEASE_SECONDS) {
                    return String.format("order of %s at %.3f s, %.0f ms after the last one of %s", order.holder(),
                        order.seconds(), gap * 1_000, last.holder());
                }
            }
            highest = Math.max(highest, order.token());
            last = order;
        }
        return null;
    }
}
